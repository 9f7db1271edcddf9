package event

// Field describes one attribute of a log line.
type Field struct {
	Name    string
	Meaning string
}

// CommonFields are the attributes of every line that a daemon logs.
var CommonFields = []Field{
	{"time", "wall-clock time at the process"},
	{"level", "INFO, WARN or ERROR"},
	{"msg", "the part, a colon and the event's sentence"},
	{Key, "name of the event"},
	{"up", "milliseconds since the process started, including time during which the machine was suspended"},
	{"process", "id of the process from its settings"},
	{"incarnation", "number of this incarnation of the process, hexadecimal"},
	{"sampled", "number of similar lines that this one represents, if some were dropped"},
}

// Fields that several events share.
var (
	job             = Field{"job", "id of the job, given by its caller"}
	task            = Field{"task", "id of the task"}
	attempt         = Field{"attempt", "number of the run of the task, from 1"}
	run             = Field{"run", "number of the run on the worker"}
	service         = Field{"service", "service of the job"}
	kind            = Field{"kind", "kind of the job"}
	entry           = Field{"entry", "id of the entry"}
	agent           = Field{"agent", "id of the agent"}
	worker          = Field{"worker", "id of the worker; entries may append @ and the worker's incarnation"}
	host            = Field{"host", "id of the control host"}
	member          = Field{"member", "id of the entry or agent"}
	epoch           = Field{"epoch", "number of the job's owner, from 1"}
	reason          = Field{"reason", "reason code in camelCase"}
	outcome         = Field{"how", "how the run ended: done, failed, stopped, lost or notStarted"}
	queue           = Field{"queue", "number of jobs queued at the process"}
	life            = Field{"life", "incarnation of the worker"}
	free            = Field{"free", "free capacity of the worker: processor, memory, accelerators"}
	need            = Field{"need", "capacity that the task requests"}
	freeCPU         = Field{"freeCpuMillis", "free processor capacity of the worker, in thousandths of a core"}
	running         = Field{"running", "number of runs affected"}
	age             = Field{"ageMillis", "age of the data on which the decision was based"}
	runTime         = Field{"runMillis", "duration of the run"}
	elapsed         = Field{"ranMillis", "time since the run was sent or started"}
	detail          = Field{"detail", "reason code given by another process"}
	due             = Field{"dueMillis", "time from receipt to the latency objective"}
	deadline        = Field{"deadlineMillis", "time from receipt to the caller's deadline"}
	waited          = Field{"waitedMillis", "time since receipt"}
	started         = Field{"startedMillis", "time from receipt to the first start, 0 if no start is known"}
	ended           = Field{"endedMillis", "time from receipt to the last end of a run"}
	answered        = Field{"answeredMillis", "time from receipt to the response"}
	tasksLeft       = Field{"tasksLeft", "tasks that are not complete"}
	retryAfter      = Field{"retryAfterMillis", "time after which the caller may retry"}
	workersWithRoom = Field{"workersWithRoom", "workers with enough free capacity for the task, as known to the entry"}
	workersKnown    = Field{"workersKnown", "workers of the service known to the entry"}
	silence         = Field{"silentMillis", "time since the last message or response"}
	incarnation     = Field{"peerIncarnation", "incarnation of the other process"}
	version         = Field{"version", "version of the configuration"}
	declared        = Field{"declared", "version that the operator declared"}
	changeID        = Field{"changeId", "id of the change"}
	digest          = Field{"sourceDigest", "digest of the source text of the configuration"}
	term            = Field{"term", "term of the control group's leader"}
	errorText       = Field{"error", "text of the error"}
	tries           = Field{"tries", "number of attempts"}
	operation       = Field{"what", "operation that was requested"}
	dataCentre      = Field{"dataCentre", "data centre"}
	evacuation      = Field{"version", "version of the data centre: the log index of the last change of its evacuation"}
	address         = Field{"address", "IP address and port"}
)
