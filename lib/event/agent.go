package event

var agentSection = section{PartAgent}

// Events that agents log.
var (
	SessionStarted = agentSection.change("sessionStarted", "An entry's session has started.",
		"The first Watch call of an incarnation of the entry arrived; the entry may launch runs.", entry, incarnation)
	SessionEnded = agentSection.warning(Change, "sessionEnded", "An entry's session has ended.",
		"No Watch call arrived in time, or the entry left: its runs are being stopped and its launches are refused.",
		entry, incarnation, reason, silence, Field{"running", "runs that are being stopped"})
	LaunchRefused = agentSection.refusal("launchRefused", "A launch was refused.",
		"The run was not started; the response to the entry has the reason.",
		job, task, attempt, run, entry, worker, reason, free, need, Field{"running", "runs on the worker"}, Field{"lateMillis", "time since the latest allowed arrival of the launch"})
	RunQueued = agentSection.success("runQueued", "A run waits for capacity.",
		"The worker has no room for the run, or a run of the same or a higher priority waits for it. The run starts in its turn, or ends as not started (waitOver, displaced).",
		job, task, attempt, run, entry, worker, free, need, Field{"priority", "priority of the run; 0 is the highest"},
		Field{"waiting", "runs that wait at the agent"}, Field{"waitMillis", "longest wait"})
	RunStarted = agentSection.success("runStarted", "A run was started.",
		"The worker accepted the start request.",
		job, task, attempt, run, entry, worker, free, need, Field{"tookMillis", "time from the request to the response"})
	RunFinished = agentSection.success("runFinished", "A run has ended.",
		"The worker reported the end; the run's capacity is free again.",
		job, task, attempt, run, entry, worker, outcome, runTime)
	RunStopped = agentSection.failure("runStopped", "A run is being stopped.",
		"The run occupies its capacity until the worker reports its end.",
		job, task, attempt, run, entry, worker, reason, Field{"ranMillis", "time since the start of the run"})
	OrderUnanswered = agentSection.warning(Failure, "orderUnanswered", "The worker did not respond to a request.",
		"The worker may have carried out the request. It is sent again, or the run is stopped, with stop requests repeated until one is acknowledged.",
		job, task, run, worker, operation, tries, errorText, Field{"tookMillis", "time waited for the response"})
	OrderRefused = agentSection.failure("orderRefused", "The worker refused a request.",
		"The worker gave a reason; the agent corrects its state of the worker.",
		job, task, run, worker, operation, reason, free, need)
	EndGivenUp = agentSection.warning(Failure, "endGivenUp", "The end of a run was acknowledged to the worker without being stored.",
		"The entry's session has ended and no other entry took over its job in time, or the end could not be read; the task may run again.",
		task, attempt, outcome, age)
	ReportRowRefused = agentSection.warning(Refusal, "reportRowRefused", "Rows of the worker's report can't be used.",
		"The other rows are used. An end that can't be read is acknowledged only after a time, as it may be readable when it is listed again.",
		worker, life, reason, Field{"rows", "number of rows that are left out"}, Field{"number", "number of the end"})
	WorkerCame = agentSection.change("workerCame", "A worker has registered.",
		"The worker announced itself; the agent may start runs once it holds the worker's lease.", worker, service, life, free, Field{"labels", "labels of the worker"}, address)
	WorkerSilent = agentSection.warning(Change, "workerSilent", "The worker does not respond.",
		"Responses to lease renewals, or announcements, are missing; when the lease expires, the worker ends its runs.",
		worker, life, silence, errorText, Field{"running", "runs on the worker"}, Field{"leaseLeftMillis", "time until the lease has certainly expired"})
	WorkerRegained = agentSection.change("workerRegained", "The worker responds again.",
		"The worker responds to lease renewals again.", worker, life, silence)
	WorkerDraining = agentSection.change("workerDraining", "The worker accepts no new runs.",
		"The worker announced its shutdown, its data centre is evacuated, or this agent can't start runs there.", worker, reason, Field{"running", "runs on the worker"})
	SlotsSuspended = agentSection.change("slotsSuspended", "The worker's slots are withdrawn or offered again.",
		"While the data centre is evacuated, all tokens of the worker are invalid and starts are refused; running tasks continue.",
		Field{"suspended", "whether the slots are withdrawn"})
	WorkerNewLife = agentSection.warning(Change, "workerNewLife", "The worker has restarted.",
		"The announcement has a new incarnation of the worker: the runs of the former one are lost.", worker, life, Field{"lost", "number of runs that were lost"})
	AnnouncementRefused = agentSection.warning(Refusal, "announcementRefused", "An announcement was refused.",
		"The announcement was malformed, came from a former incarnation of the worker, or names one that does not answer.", worker, reason, life, errorText)
	Cleared = agentSection.change("cleared", "All runs of earlier incarnations have ended.",
		"Entries are notified and place the tasks of those runs again.", worker, life, reason, Field{"tookMillis", "time since the agent started"})
	FenceRaised = agentSection.change("fenceRaised", "The agent has a new fencing token.",
		"The control group issued a higher fencing token to this incarnation.", worker, Field{"fence", "the fencing token"}, reason)
)
