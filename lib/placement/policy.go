// Package placement decides where and when tasks run. Its functions are pure:
// they work on values that the caller gathers, and change nothing.
package placement

import "github.com/rotisserie/eris"

// Policy is a way of placing tasks: Tokens, TwoChoices or Random.
type Policy interface{ policy() }

// Tokens starts tasks on slots that the entry holds; nothing is probed.
type Tokens struct{}

// TwoChoices asks two random workers how long their lines are and queues at
// the one with the shorter line.
type TwoChoices struct{}

// Random queues at a random worker.
type Random struct{}

func (Tokens) policy()     {}
func (TwoChoices) policy() {}
func (Random) policy()     {}

// Parse returns the policy named in the settings; empty stands for tokens.
func Parse(name string) (Policy, error) {
	switch name {
	case "", "tokens":
		return Tokens{}, nil
	case "twoChoices":
		return TwoChoices{}, nil
	case "random":
		return Random{}, nil
	}
	return nil, &Error{Op: "parse placement", Kind: KindName, Err: eris.Errorf("%q is none of tokens, twoChoices, random", name)}
}
