package wire

import "strings"

// howPrefix is the prefix of the names of all RunHow values.
const howPrefix = "RUN_HOW_"

// Word returns the camelCase name for how a run ended, as used in logs.
func (h RunHow) Word() string {
	switch h {
	case RunHow_RUN_HOW_NOT_STARTED:
		return "notStarted"
	default:
		return strings.ToLower(strings.TrimPrefix(h.String(), howPrefix))
	}
}

// Word returns the name of a job state in camelCase.
func (s JobState) Word() string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "JOB_STATE_"))
}
