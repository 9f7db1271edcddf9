package event

var ofEntry = section{PartEntry}

// What entries log.
var (
	JobReceived = ofEntry.success("jobReceived", "A job came in.",
		"A caller's job was read and will be answered by this entry.",
		job, service, kind, Field{"tasks", "tasks of the job"}, Field{"deadlineMillis", "how long the caller waits"}, version, queue)
	JobPlaced = ofEntry.success("jobPlaced", "A task was sent to a worker.",
		"The entry chose a worker for one task, by the agent's last word on it.",
		job, task, attempt, run, worker, agent, free, need, speed, age, queue, roomy, Field{"waitedMillis", "since the task could first have started"})
	RunBegan = ofEntry.success("runBegan", "A run has started.",
		"The agent accepted the run and the worker has it.",
		job, task, attempt, run, worker, Field{"tookMillis", "from the order to its answer"})
	RunRetried = ofEntry.failure("runRetried", "A task is to be placed again.",
		"A run was refused, lost or failed, and the task goes on elsewhere. Refused, stopped and lost runs count no attempt.",
		job, task, attempt, run, worker, reason, free, need, age, Field{"attemptsLeft", "attempts that the task has left"})
	RunEnded = ofEntry.success("runEnded", "A run has ended.",
		"The agent listed the end of a run of this entry.",
		job, task, attempt, run, worker, how, runTime)
	JobEnded = ofEntry.success("jobEnded", "A job is complete.",
		"All tasks are done and the caller has its answer.",
		job, service, kind, state, Field{"attempts", "runs of all tasks"},
		Field{"startedMillis", "from receipt to the first start"}, Field{"endedMillis", "from receipt to the last end"}, Field{"answeredMillis", "from receipt to the answer"})
	JobFailed = ofEntry.failure("jobFailed", "A job failed.",
		"A task failed as often as it may, or can't be run; the caller has its answer.",
		job, service, kind, state, reason, task, worker, Field{"attempts", "runs of all tasks"}, Field{"maxAttempts", "attempts that a task may take"},
		Field{"startedMillis", "from receipt to the first start"}, Field{"endedMillis", "from receipt to the last end"}, Field{"answeredMillis", "from receipt to the answer"})
	JobRefused = ofEntry.refusal("jobRefused", "A job was refused and not run.",
		"No task of the job was or will be started; the caller may come back.",
		job, service, kind, reason, retryAfter, known, roomy, queue, need, age, version, Field{"waitedMillis", "from receipt to the refusal"})
	JobAbandoned = ofEntry.failure("jobAbandoned", "A job was given up.",
		"The caller left or its deadline passed; all runs of the job are being stopped.",
		job, service, kind, reason, Field{"running", "runs that are being stopped"}, Field{"waitedMillis", "from receipt"})
	HaltUnanswered = ofEntry.warning(Failure, "haltUnanswered", "An order to halt got no answer.",
		"The entry asks again until the agent answers or its session there has surely ended.",
		job, task, run, worker, agent, tries, problem)
	WorkerEjected = ofEntry.warning(Change, "workerEjected", "A worker gets no tasks for a while.",
		"Too many runs failed or were late on the worker.",
		worker, reason, Field{"failures", "failed runs of late"}, Field{"runs", "runs of late"}, Field{"forMillis", "until it is tried again"})
	WorkerReadmitted = ofEntry.change("workerReadmitted", "A worker gets tasks again.",
		"The time of the ejection is over or a trial succeeded.", worker, reason)
	AgentLost = ofEntry.warning(Change, "agentLost", "An agent does not answer.",
		"The entry has heard nothing on its Watch; runs there are waited for until they are surely gone.",
		agent, worker, incarnation, silence, reason, Field{"running", "runs of this entry there"}, Field{"goneMillis", "until the runs there are surely gone"})
	AgentRegained = ofEntry.change("agentRegained", "An agent answers again.",
		"A Watch was answered after a silence, or for the first time.",
		agent, worker, incarnation, silence, Field{"cleared", "whether a new incarnation said that no earlier run is left"})
)
