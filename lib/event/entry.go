package event

var entrySection = section{PartEntry}

// Events that entries log.
var (
	RoutesInForce = entrySection.change("routesInForce", "Routing rules are in force.",
		"Requests are routed by this configuration from now on; the entry accepts jobs once it has the first one.", version)
	RequestRefused = entrySection.refusal("requestRefused", "A request was refused before a job was parsed from it.",
		"No part of it is run. An entry without a configuration has no routes yet.",
		job, reason, Field{"status", "HTTP status of the response"}, retryAfter, errorText)
	JobReceived = entrySection.success("jobReceived", "A job was received.",
		"A caller's job was parsed; this entry will respond to it.",
		job, service, kind, Field{"tasks", "tasks of the job"}, Field{"idealMillis", "expected time on a worker of usual speed"}, due, deadline,
		Field{"turn", "place among the jobs of its priority: new; first or last if the job was refused before and is within or above the budget of such jobs"}, queue)
	JobPlaced = entrySection.success("jobPlaced", "Tasks were sent to a worker.",
		"The entry chose the worker by the agent's latest status of it, and the agent accepted the runs.",
		job, Field{"runs", "the runs, TASK/ATTEMPT each"}, Field{"waiting", "those of the runs that wait at the agent for capacity"}, worker, agent, freeCPU, Field{"factor", "observed task time on the worker, as a multiple of the usual task time"},
		age, Field{"wordVersion", "version of the agent's status of the worker"}, waited, queue)
	RunRetried = entrySection.failure("runRetried", "A task will be placed again.",
		"A run was lost, stopped or failed, and the task is retried. Only failed runs count towards maxAttempts.",
		job, task, attempt, worker, reason, detail, Field{"failed", "failed runs of the task"}, Field{"maxAttempts", "limit of failed runs per task"}, elapsed)
	RunRefused = entrySection.refusal("runRefused", "An agent refused a run.",
		"The run was not started; its task is placed again.",
		job, task, attempt, worker, reason, detail, Field{"failed", "failed runs of the task"}, Field{"maxAttempts", "limit of failed runs per task"}, elapsed)
	RunHalted = entrySection.failure("runHalted", "A run will be stopped.",
		"The request to the agent is repeated until it is acknowledged; the run occupies its capacity until its end is reported.",
		job, task, attempt, worker, reason, elapsed, Field{"expectedMillis", "expected run time"})
	RunAwaited = entrySection.failure("runAwaited", "A task waits for the end of its run.",
		"The agent of the run does not respond. Its machine may be suspended and go on with the run, so the task is placed again only once the agent has reported the run's end.",
		job, task, attempt, worker, agent, silence, elapsed)
	RunEnded = entrySection.failure("runEnded", "A run has ended without completing its task.",
		"The agent reported the end of a run that failed, was stopped or was lost.",
		job, task, attempt, worker, outcome, reason, runTime)
	JobEnded = entrySection.success("jobEnded", "A job is complete.",
		"All tasks are complete and the response was sent to the caller.",
		job, service, started, ended, answered, due, queue)
	JobFailed = entrySection.failure("jobFailed", "A job failed.",
		"A task reached its limit of failed runs or can't be run, or the job was abandoned after its start; the response was sent to the caller.",
		job, service, reason, tasksLeft, running, Field{"maxAttempts", "limit of failed runs per task"}, started, answered, due, queue, workersKnown, workersWithRoom, age)
	JobRefused = entrySection.refusal("jobRefused", "A job was refused and not run.",
		"No task of the job was or will be started; the caller may retry.",
		job, service, reason, retryAfter, Field{"backlogMillis", "expected time to process the backlog that retryAfterMillis was computed from, 0 if none"},
		started, answered, due, tasksLeft, running, queue, workersKnown, workersWithRoom, age)
	JobAbandoned = entrySection.failure("jobAbandoned", "A job was abandoned.",
		"The caller disconnected, its deadline passed or the entry has to shut down; all runs of the job are being stopped.",
		job, service, reason, tasksLeft, running, started, answered, due, queue, workersKnown, workersWithRoom, age)
	JobJoined = entrySection.success("jobJoined", "A request waits for a job that runs already.",
		"Another request with the same id began the job, at the entry of the line; both get its outcome. A line without a state is of the beginning of the wait.",
		job, entry, Field{"state", "outcome of the job: complete, failed, or abandoned if the wait ended without one"}, reason, waited)
	JobNotRepeated = entrySection.failure("jobNotRepeated", "A job that has run before is not run again.",
		"An earlier request with the same id began the job and got no outcome; it may have run in part.", job, service, reason)
	JobKept = entrySection.success("jobKept", "A durable job is stored.",
		"The store has synced the job to disk; this entry runs it if the line has an epoch.",
		job, service, kind, Field{"tasks", "tasks of the job"}, epoch, Field{"tookMillis", "time until the store responded"})
	JobNotKept = entrySection.refusal("jobNotKept", "A durable job is not stored.",
		"The store refused the job, or the outcome is unknown; the response to the caller says which.", job, service, kind, reason, errorText)
	JobTakenOver = entrySection.change("jobTakenOver", "This entry took over a durable job.",
		"Before any task starts, the agents are queried for running and ended runs of the job.",
		job, service, kind, tasksLeft, epoch)
	JobReady = entrySection.change("jobReady", "A durable job that was taken over continues.",
		"All agents were queried, or their runs have certainly ended.", job, tasksLeft, Field{"unasked", "agents that could not be queried"}, waited)
	JobLost = entrySection.warning(Change, "jobLost", "This entry no longer owns a durable job.",
		"The store reported a new owner or the entry's own lease expired; the job's runs are being stopped.", job, reason, epoch, running)
	JobsSuspended = entrySection.warning(Change, "jobsSuspended", "Durable jobs were suspended or resumed.",
		"While the entry's lease is expired, runs of durable jobs are stopped and none are started.",
		Field{"suspended", "whether the jobs are suspended"}, Field{"inFlight", "number of jobs in flight at the entry"})
	KeptJobEnded = entrySection.success("keptJobEnded", "A durable job has ended.",
		"Its final state is stored and returned to callers that query the job.", job, service, Field{"state", "completed, failed or cancelled"}, epoch, ended)
	StoreUnanswered = entrySection.warning(Failure, "storeUnanswered", "The job store did not respond.",
		"The call is retried; ends of runs are not acknowledged until it succeeds.", Field{"what", "name of the call"}, Field{"notes", "number of jobs affected"}, errorText)
	LaunchUnanswered = entrySection.warning(Failure, "launchUnanswered", "An agent did not respond to a launch.",
		"The runs may have started and will be stopped.", job, Field{"runs", "the runs, TASK/ATTEMPT each"}, agent, worker, errorText)
	HaltUnanswered = entrySection.warning(Failure, "haltUnanswered", "An agent did not respond to a stop request.",
		"The entry repeats the request until the agent responds.",
		agent, Field{"runs", "the runs, TASK/ATTEMPT each"}, errorText)
	WorkerEjected = entrySection.warning(Change, "workerEjected", "A worker was ejected.",
		"Too many runs failed or hung on the worker. It gets no tasks for a period, and then a single trial task.",
		worker, agent, Field{"failureRate", "fraction of recent runs that failed"}, Field{"ejections", "number of consecutive ejections"}, Field{"forMillis", "time until the trial task"})
	WorkerReadmitted = entrySection.change("workerReadmitted", "A worker was readmitted.",
		"The trial task on the ejected worker completed.", worker, agent)
	WorkerWord = entrySection.change("workerWord", "An agent's status of its worker has changed.",
		"The agent has another worker, or the worker started or stopped accepting runs.",
		worker, agent, service, Field{"accepting", "whether the worker accepts new runs"}, reason, Field{"wordVersion", "version of the agent's status of the worker"})
	AgentListed = entrySection.change("agentListed", "An agent was added to the directory.",
		"The entry starts to call it.", agent, address)
	AgentUnlisted = entrySection.change("agentUnlisted", "An agent was removed from the directory.",
		"The entry stops calling it; no run of this entry is left there.", agent)
	EvacuationApplied = entrySection.change("evacuationApplied", "The evacuation of a data centre has begun or ended at this entry.",
		"While it lasts, the agents there get no launches; runs that have started go on.",
		Field{"dataCentre", "data centre"}, Field{"evacuated", "whether the data centre is evacuated"}, Field{"agents", "number of its agents"}, running)
	AgentLost = entrySection.warning(Change, "agentLost", "An agent does not respond.",
		"It gets no launches; tasks of runs there are placed again only once it, or its next incarnation, has reported their ends.",
		agent, worker, silence, running)
	AgentRegained = entrySection.change("agentRegained", "An agent responds.",
		"A Watch call was answered for the first time, or again after a failure.",
		agent, worker, silence)
	AgentRestarted = entrySection.warning(Change, "agentRestarted", "An agent has restarted.",
		"A new incarnation responds; tasks of runs of the former one are placed again once it reports that those runs have ended.",
		agent, incarnation, running)
)
