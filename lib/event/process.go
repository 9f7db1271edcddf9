package event

import "log/slog"

var commonSection = section{PartAll}

// Events that every process logs.
var (
	ProcessStarted = commonSection.change("processStarted", "Listening.",
		"The settings were read and the process accepts connections. An entry accepts jobs only once a configuration is in force.",
		Field{"version", "version of the program"}, address, Field{"dataCentre", "data centre"}, Field{"rack", "rack"}, Field{"announce", "address on which the process receives worker announcements"}, Field{"announces", "addresses on which several agents in one process receive worker announcements"}, Field{"metrics", "address of the metrics page"})
	Stopping = commonSection.change("stopping", "The process is shutting down.",
		"It accepts no new work and completes the work in flight.", reason, Field{"inFlight", "requests or runs in flight"}, Field{"graceMillis", "time allowed for the shutdown"})
	SignalTaken = commonSection.change("signalTaken", "The process received a signal.",
		"SIGTERM and SIGINT shut the process down, SIGHUP asks for a reload of its settings.",
		Field{"signal", "name of the signal: terminated, interrupt or hangup"}, Field{"phase", "starting, running or stopping"})
	CutOff = commonSection.warning(Failure, "cutOff", "Work in flight was aborted at shutdown.",
		"The work in flight did not complete within the time allowed for the shutdown.", errorText)
	Stopped = commonSection.change("stopped", "The process has stopped.",
		"Last line of a process that shut down normally.", reason)
	Failed = commonSection.add(Failure, slog.LevelError, "processFailed", "The process failed.",
		"Last line of a process that ended with exit code 1.", errorText)
	Reloaded = commonSection.change("reloaded", "The settings were reloaded.",
		"The settings file has changed, or a signal asked for a reload.", Field{"used", "whether the new settings are applied"}, Field{"changed", "whether the settings differ from those in force"}, Field{"seeds", "addresses of control hosts"}, errorText)
	ConfigInForce = commonSection.change("configInForce", "A configuration is in force.",
		"The process applies it to all further decisions.", version, Field{"before", "version of the configuration that it replaces"})
	ConfigUnreadable = commonSection.warning(Change, "configUnreadable", "A configuration can't be read.",
		"The process goes on with the former one and asks again.", Field{"before", "version of the configuration in force"}, errorText)
	EvacuationInForce = commonSection.change("evacuationInForce", "An evacuation was changed.",
		"The process has received the change and applies it to all further decisions.", dataCentre, Field{"evacuated", "whether the data centre is evacuated"}, evacuation)
	DeclaredDead = commonSection.add(Change, slog.LevelError, "declaredDead", "The control group has declared this process dead.",
		"The process ends, or joins again as a new incarnation.", Field{"newIncarnation", "number of the new incarnation, hexadecimal"})
	DependencyLost = commonSection.warning(Change, "dependencyLost", "A dependency is unreachable.",
		"The process continues with the last state that it received.", Field{"dependency", "name of the dependency, such as control"}, Field{"asked", "number of addresses that were tried"}, silence, Field{"directory", "version of the directory that the process has"})
	DependencyRegained = commonSection.change("dependencyRegained", "A dependency is reachable again.",
		"The process receives its updates again.", Field{"dependency", "name of the dependency"}, Field{"leader", "id of the control group's leader"}, silence)
	ProcessPaused = commonSection.warning(Change, "processPaused", "The process was paused.",
		"The machine was suspended, or the process got no processor time.", Field{"gapMillis", "duration of the pause"}, Field{"inFlight", "requests or runs in flight"})
	ConnectionLimited = commonSection.refusal("connectionLimited", "A client's connection was closed or its request refused because of a limit.",
		"The client was slow or silent, or the process has no connection or memory left for it.", reason, address, Field{"peer", "IP address and port of the client, of several the last one"}, Field{"connections", "number of connections or requests that the line stands for"})
	LinesLeftOut = commonSection.add(Change, slog.LevelWarn, "linesLeftOut", "Log lines were dropped.",
		"Lines are logged faster than the limit, or the reader of the log is slow.", Field{"sampledOut", "number of lines dropped by sampling, by event"}, Field{"noRoom", "number of lines dropped because the queue was full, by event"})
	PeerSilent = commonSection.warning(Change, "peerSilent", "An agent or another entry does not respond to claims.",
		"The ids of jobs that an agent owned move to others until it responds; no request waits for it.", member, errorText)
	PeerRegained = commonSection.change("peerRegained", "An agent or another entry responds to claims again.", "An agent owns ids of jobs again.", member, silence)
)
