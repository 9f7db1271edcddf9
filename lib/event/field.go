package event

// Field is one attribute of a line.
type Field struct {
	Name    string
	Meaning string
}

// CommonFields are in each line of a daemon.
var CommonFields = []Field{
	{"time", "time of day at the process"},
	{"level", "INFO, WARN or ERROR"},
	{"msg", "the part and a sentence"},
	{Key, "name of the event"},
	{"up", "milliseconds since the process started, also those during which the machine was suspended"},
	{"process", "id of the process from its settings"},
	{"incarnation", "number of this start of the process, hexadecimal"},
	{"sampled", "how many like lines this one stands for, where some were left out"},
}

// Fields that several events share.
var (
	job         = Field{"job", "id of the job, given by its caller"}
	task        = Field{"task", "id of the task"}
	attempt     = Field{"attempt", "which run of the task, from 1"}
	run         = Field{"run", "number of the run at the worker"}
	service     = Field{"service", "service of the job"}
	kind        = Field{"kind", "kind of the job"}
	entry       = Field{"entry", "id of the entry"}
	agent       = Field{"agent", "id of the agent"}
	worker      = Field{"worker", "id of the worker, and where an entry tells it also of its life"}
	host        = Field{"host", "id of the control host"}
	member      = Field{"member", "id of the entry or agent"}
	epoch       = Field{"epoch", "number of the job's owner, from 1"}
	reason      = Field{"reason", "a word in camelCase"}
	how         = Field{"how", "how the run ended: done, failed, stopped, lost or notStarted"}
	queue       = Field{"queue", "tasks that wait at the process"}
	life        = Field{"life", "which start of the worker"}
	free        = Field{"free", "capacity that is free at the worker: processor, memory, accelerators"}
	need        = Field{"need", "capacity that the task asks for"}
	freeCPU     = Field{"freeCpuMillis", "free processor at the worker, in thousandths of a core"}
	running     = Field{"running", "runs concerned"}
	age         = Field{"ageMillis", "age of the input that decided"}
	runTime     = Field{"runMillis", "how long the run took"}
	ran         = Field{"ranMillis", "since the run was sent or started"}
	detail      = Field{"detail", "the reason that another process gave"}
	due         = Field{"dueMillis", "from receipt to the latency objective"}
	deadline    = Field{"deadlineMillis", "from receipt until the caller leaves"}
	waited      = Field{"waitedMillis", "from receipt"}
	started     = Field{"startedMillis", "from receipt to the first start, 0 where none is known"}
	ended       = Field{"endedMillis", "from receipt to the last end"}
	answered    = Field{"answeredMillis", "from receipt to the answer"}
	tasksLeft   = Field{"tasksLeft", "tasks that are not done"}
	retryAfter  = Field{"retryAfterMillis", "when the caller may come back"}
	roomy       = Field{"workersWithRoom", "workers that had room for the task by the entry's knowledge"}
	known       = Field{"workersKnown", "workers of the service that the entry knows"}
	silence     = Field{"silentMillis", "how long nothing was heard"}
	incarnation = Field{"peerIncarnation", "incarnation of the other process"}
	version     = Field{"version", "version of the configuration"}
	declared    = Field{"declared", "version that the operator declared"}
	changeID    = Field{"changeId", "id of the change"}
	digest      = Field{"sourceDigest", "digest of the configuration's source"}
	term        = Field{"term", "term of the control group's leader"}
	problem     = Field{"error", "the error"}
	tries       = Field{"tries", "how often it was tried"}
	what        = Field{"what", "what was asked for"}
	address     = Field{"address", "address, IP and port"}
)
