package story

import "skylarklane.example/lib/event"

// Cause is why the request ended as it did.
type Cause struct {
	// Name is a camelCase word.
	Name     string
	Sentence string
}

// rule finds one cause. Its explain returns an empty sentence where the cause
// is another.
type rule struct {
	name    string
	explain func(*Story) string
}

// causeOf returns the first cause of the table that fits.
func causeOf(s *Story) Cause {
	for _, r := range rulesFor(s) {
		if sentence := r.explain(s); sentence != "" {
			return Cause{Name: r.name, Sentence: sentence}
		}
	}
	return Cause{Name: "unknown", Sentence: "These lines don't tell the cause."}
}

// rulesFor returns the table for the way in which the request ended.
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

// cameAgain tells whether the request came in more than once.
func cameAgain(s *Story) bool { return len(s.Jobs) > 1 }

// reasonIs returns a rule for one reason of the request's end.
func reasonIs(name, reason string, explain func(*Story, *Line) string) rule {
	return rule{name, func(s *Story) string {
		if end := s.end(); end.Fields[fieldReason] == reason {
			return explain(s, end)
		}
		return ""
	}}
}
