package event

import "log/slog"

var ofAll = section{PartAll}

// What every process logs.
var (
	ProcessStarted = ofAll.change("processStarted", "Listening.",
		"The settings were read and the process listens. An entry takes work only once a configuration is in force.",
		Field{"version", "version of the program"}, address, Field{"dataCentre", "data centre"}, Field{"rack", "rack"}, Field{"announce", "address for announcements"}, Field{"announces", "addresses for announcements, of many agents in one process"}, Field{"metrics", "address of the metrics page"})
	Stopping = ofAll.change("stopping", "The process is leaving.",
		"It takes nothing new and finishes what is in flight.", reason, Field{"inFlight", "requests or runs in flight"}, Field{"graceMillis", "how long it has"})
	CutOff = ofAll.warning(Failure, "cutOff", "Work was cut off.",
		"The time to leave was not enough for what was in flight.", problem)
	Stopped = ofAll.change("stopped", "The process has stopped.",
		"The last line of a process that ended in good order.", reason)
	Failed = ofAll.add(Failure, slog.LevelError, "processFailed", "The process failed.",
		"The last line of a process that ended with exit code 1.", problem)
	Reloaded = ofAll.change("reloaded", "The settings were read again.",
		"The settings file has changed.", Field{"used", "whether they are used"}, Field{"seeds", "addresses of control hosts"}, problem)
	ConfigInForce = ofAll.change("configInForce", "A configuration is in force.",
		"From now on the process decides by it.", version, Field{"before", "version that it replaces"})
	DeclaredDead = ofAll.add(Change, slog.LevelError, "declaredDead", "The control group has declared this process dead.",
		"It ends, or joins again as another incarnation.", Field{"newIncarnation", "number of the new incarnation, hexadecimal"})
	DependencyLost = ofAll.warning(Change, "dependencyLost", "A dependency is lost.",
		"The process goes on with what it knows.", Field{"dependency", "what is lost, such as control"}, Field{"asked", "addresses that were asked"}, silence, Field{"directory", "version of the directory at hand"})
	DependencyRegained = ofAll.change("dependencyRegained", "A dependency is back.",
		"The process follows it again.", Field{"dependency", "what is back"}, Field{"leader", "id of the control group's leader"}, silence)
	ProcessPaused = ofAll.warning(Change, "processPaused", "The process was stopped for a while.",
		"The machine was suspended, or the process got no processor time.", Field{"gapMillis", "how long"}, Field{"inFlight", "requests or runs in flight"})
	LinesLeftOut = ofAll.add(Change, slog.LevelWarn, "linesLeftOut", "Lines were left out.",
		"The log is under load, or its reader is slow.", Field{"sampledOut", "lines by event that sampling left out"}, Field{"noRoom", "lines by event that the full queue left out"})
)
