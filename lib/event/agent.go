package event

var ofAgent = section{PartAgent}

// What agents log.
var (
	SessionStarted = ofAgent.change("sessionStarted", "An entry's session has started.",
		"The first Watch of an entry's incarnation arrived; it may launch runs.", entry, incarnation)
	SessionEnded = ofAgent.warning(Change, "sessionEnded", "An entry's session has ended.",
		"No Watch arrived in time, or the entry left: its runs are being stopped and its launches refused.",
		entry, incarnation, reason, silence, Field{"running", "runs that are being stopped"})
	LaunchRefused = ofAgent.refusal("launchRefused", "A launch was refused.",
		"The run was not started; the entry is told why.",
		job, task, attempt, run, entry, worker, reason, free, need, Field{"running", "runs at the worker"}, Field{"lateMillis", "how late the launch came"})
	RunStarted = ofAgent.success("runStarted", "A run was started.",
		"The worker accepted the order to start.",
		job, task, attempt, run, entry, worker, free, need, Field{"tookMillis", "from the order to its answer"})
	RunFinished = ofAgent.success("runFinished", "The worker listed the end of a run.",
		"The worker listed it; its capacity is free again.",
		job, task, attempt, run, entry, worker, how, runTime)
	RunStopped = ofAgent.failure("runStopped", "A run is being stopped.",
		"The run counts until its end is listed.",
		job, task, attempt, run, entry, worker, reason, Field{"ranMillis", "since its start"})
	OrderUnanswered = ofAgent.warning(Failure, "orderUnanswered", "An order got no answer from the worker.",
		"The order may have been carried out. It is sent again, or the run is stopped until the stop is acknowledged.",
		job, task, run, worker, what, tries, problem, Field{"tookMillis", "how long it was waited for"})
	OrderRefused = ofAgent.failure("orderRefused", "The worker refused an order.",
		"The worker named a reason; the agent corrects what it believed.",
		job, task, run, worker, what, reason, free, need)
	EndGivenUp = ofAgent.warning(Failure, "endGivenUp", "An end was acknowledged that nobody has stored.",
		"The session of the entry is over and no other entry has taken its job over in time; the task may run again.",
		task, attempt, how, age)
	WorkerCame = ofAgent.change("workerCame", "A worker announced itself.",
		"The agent may start runs once it holds the worker's lease.", worker, service, life, free, Field{"labels", "labels of the worker"}, address)
	WorkerSilent = ofAgent.warning(Change, "workerSilent", "The worker does not answer.",
		"Holds or announcements are missing; the lease runs out and the runs lapse.",
		worker, life, silence, problem, Field{"running", "runs at the worker"}, Field{"leaseLeftMillis", "until the lease has surely ended"})
	WorkerRegained = ofAgent.change("workerRegained", "The worker answers again.",
		"Holds are answered after a silence.", worker, life, silence)
	WorkerDraining = ofAgent.change("workerDraining", "The worker takes no new runs.",
		"The worker announced that it is leaving, or this agent is.", worker, reason, Field{"running", "runs at the worker"})
	WorkerNewLife = ofAgent.warning(Change, "workerNewLife", "The worker has restarted.",
		"The announcement names another life: the runs of the last one are gone.", worker, life, Field{"lost", "runs that are gone"})
	AnnouncementRefused = ofAgent.warning(Refusal, "announcementRefused", "An announcement was refused.",
		"The worker's announcement was old, or not of this agent's worker.", worker, reason, life, problem)
	Cleared = ofAgent.change("cleared", "No run of an earlier incarnation is left.",
		"Entries are told, and place the tasks of those runs again.", worker, life, reason, Field{"tookMillis", "since the agent started"})
	FenceRaised = ofAgent.change("fenceRaised", "The agent has a new fencing token.",
		"The control group gave this incarnation a higher fence.", worker, Field{"fence", "the fencing token"}, reason)
)
