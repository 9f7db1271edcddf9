package job

// The reasons of outcomes, refusals and retries.
const (
	reasonCallerLeft = "callerLeft"
	reasonDeadline   = "deadline"
	reasonLate       = "late"
	reasonLeaving    = "leaving"
	reasonSentAgain  = "sentAgain"
	reasonNoWorkers  = "noWorkers"
	reasonQueueFull  = "queueFull"
	reasonHopeless   = "hopeless"
	reasonNeverFits  = "neverFits"
	reasonAttempts   = "attempts"
	reasonInvalid    = "invalid"
	reasonSibling    = "jobEnded"
	reasonHangs      = "hangs"
	reasonNoReply    = "noReply"
	reasonSilent     = "agentSilent"
	reasonRestarted  = "agentRestarted"
	reasonGap        = "processStopped"
	reasonNotSent    = "notSent"
	reasonKept       = "keptUnderThisId"
	reasonCancelled  = "cancelled"
	reasonNotOwner   = "notOwner"
	reasonNoLease    = "leaseOver"

	// causeRefused is the cause of a retry after an agent refused the run.
	causeRefused = "refused"
)
