package event

var ofAgent = section{PartAgent}

// What agents log.
var (
	SessionStarted = ofAgent.change("sessionStarted", "An entry's session has started.",
		"A Watch renewed it for the first time; the entry may launch runs.", entry, incarnation)
	SessionEnded = ofAgent.warning(Change, "sessionEnded", "An entry's session has ended.",
		"No Watch renewed it in time, or another incarnation came: its runs are being stopped and its launches refused.",
		entry, incarnation, reason, running, Field{"silentMillis", "since the session was renewed"})
	LaunchRefused = ofAgent.refusal("launchRefused", "A launch was refused.",
		"The run was not started; the entry is told why.",
		job, task, attempt, entry, worker, reason, freeCPU, Field{"leftMillis", "until the launch would be void"})
	RunStarted = ofAgent.success("runStarted", "A run has started.",
		"The worker has carried out the order, after the agent had accepted the launch.",
		job, task, attempt, run, entry, worker, freeCPU, Field{"tookMillis", "from the launch"})
	RunFinished = ofAgent.success("runFinished", "A run has ended.",
		"Its end is known, and its capacity is free again.",
		job, task, attempt, run, entry, worker, how, reason, ran)
	RunBarred = ofAgent.failure("runBarred", "A run was barred before its launch came.",
		"Its launch will be refused; it ends as not started.", job, task, attempt, entry, reason)
	RunStopped = ofAgent.failure("runStopped", "A run is being stopped.",
		"The run counts until its end is known.",
		job, task, attempt, run, entry, worker, reason, ran)
	RunMissing = ofAgent.warning(Failure, "runMissing", "A run is missing at its worker.",
		"The worker neither runs it nor lists its end.", job, task, attempt, run, entry, worker)
	StrayStopped = ofAgent.failure("strayStopped", "A run of an earlier agent is being stopped.",
		"The worker has a run that this incarnation did not start.", job, task, run, worker)
	OrderUnanswered = ofAgent.warning(Failure, "orderUnanswered", "An order got no answer from the worker.",
		"The order may have been carried out. It is sent again, or the run is stopped until the stop is acknowledged.",
		job, task, attempt, run, entry, worker, what, tries, problem)
	OrderRefused = ofAgent.failure("orderRefused", "The worker refused an order.",
		"The agent corrects what it believed.",
		job, task, attempt, run, entry, worker, what, reason, freeCPU)
	WorkerCame = ofAgent.change("workerCame", "A worker announced itself.",
		"The agent may start runs once it holds the worker's lease.", worker, service, address)
	WorkerState = ofAgent.change("workerState", "The worker takes or refuses new runs.",
		"Entries are told.", worker, Field{"accepting", "whether it takes new runs"}, reason, freeCPU)
	WorkerSilent = ofAgent.warning(Change, "workerSilent", "The worker does not answer and its runs are lost.",
		"Its lease has run out.", worker, silence, running)
	WorkerRegained = ofAgent.change("workerRegained", "The worker answers again.",
		"A hold was answered after a silence.", worker, silence)
	WorkerDraining = ofAgent.change("workerDraining", "The worker takes no new runs.",
		"It announced that it is leaving, or that it stays after all.", worker, reason, Field{"draining", "whether it is leaving"}, running)
	WorkerNewLife = ofAgent.warning(Change, "workerNewLife", "The worker is another one.",
		"It has restarted or was replaced: the runs of the last life are lost or stopped.", worker, Field{"former", "the last life"}, running, reason)
	AnnouncementRefused = ofAgent.warning(Refusal, "announcementRefused", "An announcement was refused.",
		"It is malformed, or of an earlier life.", worker, reason, Field{"current", "the life that is known"}, problem)
	Cleared = ofAgent.change("cleared", "No run of an earlier agent is left.",
		"Entries are told, and place the tasks of those runs again.", worker, fence)
	FenceRaised = ofAgent.warning(Change, "fenceRaised", "The agent takes a higher fencing token.",
		"The worker has seen a higher one than the agent's.", fence, Field{"refused", "the token that was too low"})
)
