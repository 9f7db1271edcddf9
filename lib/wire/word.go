package wire

import "strings"

// howPrefix stands before each name of a RunHow.
const howPrefix = "RUN_HOW_"

// Word returns the way in which a run ended in camelCase.
func (h RunHow) Word() string {
	switch h {
	case RunHow_RUN_HOW_NOT_STARTED:
		return "notStarted"
	default:
		return strings.ToLower(strings.TrimPrefix(h.String(), howPrefix))
	}
}

// Word returns the state of a job in camelCase.
func (s JobState) Word() string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "JOB_STATE_"))
}
