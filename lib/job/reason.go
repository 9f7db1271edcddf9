package job

// The reasons of outcomes, refusals and retries, as they appear in replies,
// logs and metrics.
const (
	reasonCallerDisconnected = "callerLeft"
	reasonDeadline           = "deadline"
	reasonTooLate            = "late"
	reasonShuttingDown       = "leaving"
	reasonResubmitted        = "sentAgain"
	reasonEarlierRuns        = "earlierRuns"
	reasonNoWorkers          = "noWorkers"
	reasonQueueFull          = "queueFull"
	reasonUnlikelyInTime     = "hopeless"
	reasonNeverFits          = "neverFits"
	reasonAttemptsUsedUp     = "attempts"
	reasonInvalid            = "invalid"
	reasonJobEnded           = "jobEnded"
	reasonHanging            = "hangs"
	reasonNoReply            = "noReply"
	reasonAgentSilent        = "agentSilent"
	reasonAgentRestarted     = "agentRestarted"
	reasonProcessSuspended   = "processStopped"
	reasonNotSent            = "notSent"
	reasonDurableJobExists   = "keptUnderThisId"
	reasonCancelled          = "cancelled"
	reasonNotOwner           = "notOwner"
	reasonLeaseExpired       = "leaseOver"

	// causeRefused is the cause of a retry after an agent refused the run.
	causeRefused = "refused"
	// causeWaited is the cause of a retry after a run waited at an agent in vain.
	causeWaited = "waited"
)
