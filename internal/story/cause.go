package story

import "skylarklane.example/lib/event"

// Cause is the most likely reason for the way in which the request ended.
type Cause struct {
	// Name identifies the cause, in camelCase.
	Name     string
	Sentence string
}

// rule detects one cause. Its explain returns a sentence on the cause, or an
// empty string if the rule does not apply.
type rule struct {
	name    string
	explain func(*Story) string
}

// causeOf returns the cause of the first rule that applies.
func causeOf(s *Story) Cause {
	for _, r := range rulesFor(s) {
		if sentence := r.explain(s); sentence != "" {
			return Cause{Name: r.name, Sentence: sentence}
		}
	}
	return Cause{Name: "unknown", Sentence: "The cause can't be determined from these lines."}
}

// rulesFor returns the rules, in order of precedence, for the way in which the
// request ended.
func rulesFor(s *Story) []rule {
	end := s.end()
	switch {
	case end == nil:
		return rulesUnanswered
	case end.is(event.JobRefused):
		return rulesRefused
	case end.is(event.JobFailed):
		return rulesFailed
	case end.is(event.JobAbandoned):
		return rulesAbandoned
	default:
		return rulesComplete
	}
}

// wasReceivedAgain reports whether the request was received more than once.
func wasReceivedAgain(s *Story) bool { return len(s.Jobs) > 1 }

// reasonIs returns a rule that applies if the request ended for the given
// reason.
func reasonIs(name, reason string, explain func(*Story, *Line) string) rule {
	return rule{name, func(s *Story) string {
		if end := s.end(); end.Fields[fieldReason] == reason {
			return explain(s, end)
		}
		return ""
	}}
}
