// Package placement decides where and when tasks run. Its functions are pure:
// they depend only on their arguments and change nothing.
package placement

import "github.com/rotisserie/eris"

// Policy selects how tasks are placed: Tokens, TwoChoices or Random.
type Policy interface{ policy() }

// Tokens starts tasks on slots for which the entry holds tokens, without
// probing workers.
type Tokens struct{}

// TwoChoices probes two random workers and queues the task at the one with the
// shorter queue.
type TwoChoices struct{}

// Random queues the task at a random worker.
type Random struct{}

func (Tokens) policy()     {}
func (TwoChoices) policy() {}
func (Random) policy()     {}

// Parse returns the policy with the given name; the empty name means tokens.
func Parse(name string) (Policy, error) {
	switch name {
	case "", "tokens":
		return Tokens{}, nil
	case "twoChoices":
		return TwoChoices{}, nil
	case "random":
		return Random{}, nil
	}
	return nil, &Error{Op: "parse placement", Kind: KindUnknownPolicy, Err: eris.Errorf("unknown policy %q: must be tokens, twoChoices or random", name)}
}
