package event

var ofEntry = section{PartEntry}

// What entries log.
var (
	RoutesInForce = ofEntry.change("routesInForce", "Routes are in force.",
		"From now on callers' requests are led by this configuration; with the first one the entry takes work.", version)
	RequestRefused = ofEntry.refusal("requestRefused", "A request was refused before it was read as a job.",
		"Nothing of it was or will be run. Without a configuration the entry knows no route yet.",
		job, reason, Field{"status", "status of the answer"}, retryAfter, problem)
	JobReceived = ofEntry.success("jobReceived", "A job came in.",
		"A caller's job was read and will be answered by this entry.",
		job, service, kind, Field{"tasks", "tasks of the job"}, Field{"idealMillis", "expected time at a good worker"}, due, deadline, queue)
	JobPlaced = ofEntry.success("jobPlaced", "Tasks were sent to a worker.",
		"The entry chose the worker by the agent's last word on it, and the agent has accepted the runs.",
		job, Field{"runs", "the runs, TASK/ATTEMPT each"}, worker, agent, freeCPU, Field{"factor", "learned time of tasks at the worker, as a multiple of the usual one"},
		age, Field{"wordVersion", "version of the agent's word"}, waited, queue)
	RunRetried = ofEntry.failure("runRetried", "A task is to be placed again.",
		"A run was lost, stopped or failed, and the task goes on elsewhere. Only failed runs count as attempts.",
		job, task, attempt, worker, reason, detail, Field{"failed", "failed runs of the task"}, Field{"maxAttempts", "failed runs that a task may have"}, ran)
	RunRefused = ofEntry.refusal("runRefused", "An agent refused a run.",
		"The run was not started; its task goes on elsewhere.",
		job, task, attempt, worker, reason, detail, Field{"failed", "failed runs of the task"}, Field{"maxAttempts", "failed runs that a task may have"}, ran)
	RunHalted = ofEntry.failure("runHalted", "A run is to be stopped.",
		"The agent is asked until it acknowledges; the run counts until its end is listed.",
		job, task, attempt, worker, reason, ran, Field{"expectedMillis", "expected run time"})
	RunEnded = ofEntry.failure("runEnded", "A run has ended and its task is not done.",
		"The agent listed the end of a run that failed, was stopped or was lost.",
		job, task, attempt, worker, how, reason, runTime)
	JobEnded = ofEntry.success("jobEnded", "A job is complete.",
		"All tasks are done and the caller has its answer.",
		job, service, started, ended, answered, due, queue)
	JobFailed = ofEntry.failure("jobFailed", "A job failed.",
		"A task failed as often as it may, can't be run, or the job was given up after its start; the caller has its answer.",
		job, service, reason, tasksLeft, running, Field{"maxAttempts", "failed runs that a task may have"}, started, answered, due, queue, known, roomy, age)
	JobRefused = ofEntry.refusal("jobRefused", "A job was refused and not run.",
		"No task of the job was or will be started; the caller may come back.",
		job, service, reason, retryAfter, started, answered, due, tasksLeft, running, queue, known, roomy, age)
	JobAbandoned = ofEntry.failure("jobAbandoned", "A job was given up.",
		"The caller left, its deadline passed or the entry must end; all runs of the job are being stopped.",
		job, service, reason, tasksLeft, running, started, answered, due, queue, known, roomy, age)
	JobKept = ofEntry.success("jobKept", "A job is stored.",
		"The store has synced the job; this entry, if it has an epoch, runs it.",
		job, service, kind, Field{"tasks", "tasks of the job"}, epoch, Field{"tookMillis", "until the store answered"})
	JobNotKept = ofEntry.refusal("jobNotKept", "A job is not stored.",
		"The store refused the job, or gave no clear answer; the caller is told which.", job, service, kind, reason, problem)
	JobTakenOver = ofEntry.change("jobTakenOver", "This entry runs a job of a former owner.",
		"Its agents are asked for runs and ends of the job before any task starts.",
		job, service, kind, tasksLeft, epoch)
	JobReady = ofEntry.change("jobReady", "A job that was taken over goes on.",
		"All agents were asked, or their runs are surely over.", job, tasksLeft, Field{"unasked", "agents that could not be asked"}, waited)
	JobLost = ofEntry.warning(Change, "jobLost", "A kept job is not this entry's any more.",
		"The store says so, or the entry's own lease is over; its runs are being stopped.", job, reason, epoch, running)
	JobsSuspended = ofEntry.warning(Change, "jobsSuspended", "Kept jobs are suspended, or go on.",
		"The entry's lease is over: runs of kept jobs are stopped and none started until it is back.",
		Field{"suspended", "whether they are"}, Field{"inFlight", "jobs in hand"})
	KeptJobEnded = ofEntry.success("keptJobEnded", "A kept job has ended.",
		"Its last state is stored; callers that ask are told so.", job, service, Field{"state", "completed, failed or cancelled"}, epoch, ended)
	StoreUnanswered = ofEntry.warning(Failure, "storeUnanswered", "The job store gave no answer.",
		"The call is made again; ends are not acknowledged meanwhile.", Field{"what", "the call"}, Field{"notes", "jobs concerned"}, problem)
	LaunchUnanswered = ofEntry.warning(Failure, "launchUnanswered", "A launch got no answer.",
		"Its runs are halted: they may have started.", job, Field{"runs", "the runs, TASK/ATTEMPT each"}, agent, worker, problem)
	HaltUnanswered = ofEntry.warning(Failure, "haltUnanswered", "An order to halt got no answer.",
		"The entry asks again until the agent answers or its session there has surely ended.",
		agent, Field{"runs", "the runs, TASK/ATTEMPT each"}, problem)
	WorkerEjected = ofEntry.warning(Change, "workerEjected", "A worker gets no tasks for a while.",
		"Too many runs failed or hung on the worker; then one task tries it.",
		worker, agent, Field{"failureRate", "part of the runs that failed of late"}, Field{"ejections", "ejections in a row"}, Field{"forMillis", "until it is tried"})
	WorkerReadmitted = ofEntry.change("workerReadmitted", "A worker gets tasks again.",
		"A task that tried the ejected worker was done.", worker, agent)
	WorkerWord = ofEntry.change("workerWord", "An agent's word on its worker has changed.",
		"The worker is another one, or takes or refuses new runs.",
		worker, agent, service, Field{"accepting", "whether it takes new runs"}, reason, Field{"wordVersion", "version of the agent's word"})
	AgentListed = ofEntry.change("agentListed", "An agent is in the directory.",
		"The entry calls it from now on.", agent, address)
	AgentUnlisted = ofEntry.change("agentUnlisted", "An agent has left the directory.",
		"The entry calls it no more; no run of this entry is left there.", agent)
	AgentLost = ofEntry.warning(Change, "agentLost", "An agent does not answer.",
		"It gets no launches; runs there are waited for until they are surely gone.",
		agent, worker, silence, running, Field{"goneMillis", "until the runs there are surely gone"})
	AgentRegained = ofEntry.change("agentRegained", "An agent answers.",
		"A Watch was answered after a silence, or for the first time.",
		agent, worker, silence)
	AgentRestarted = ofEntry.warning(Change, "agentRestarted", "An agent has restarted.",
		"Another incarnation answers; the runs under the last one are waited for until it says that they are gone.",
		agent, incarnation, running)
)
