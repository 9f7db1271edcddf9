package event

var ofControl = section{PartControl}

// What control hosts log.
var (
	LeaderChanged = ofControl.change("leaderChanged", "The control group's leader changed.",
		"This host leads, follows another leader, or knows none.",
		host, Field{"leader", "id of the leader, empty where none is known"}, term, reason, Field{"leaderlessMillis", "how long no leader was known"})
	HostAdmitted = ofControl.change("hostAdmitted", "A control host was admitted.",
		"The host follows the log, or has got its vote.", host, address, Field{"voter", "whether it votes"}, Field{"hosts", "hosts of the group"})
	HostRemoved = ofControl.warning(Change, "hostRemoved", "A control host was removed.",
		"The host is no longer part of the group.", host, address, reason, Field{"hosts", "hosts of the group"}, silence)
	HostRejoined = ofControl.warning(Change, "hostRejoined", "A control host came back without its data.",
		"The host follows without a vote until it has caught up.", host, address, reason)
	MemberJoined = ofControl.change("memberJoined", "An entry or agent joined.",
		"The member is in the directory.", member, incarnation, Field{"role", "entry or agent"}, address, Field{"directory", "version of the directory"})
	MemberDead = ofControl.warning(Change, "memberDead", "An entry or agent is declared dead.",
		"The member's lease ran out, or it left.", member, incarnation, Field{"role", "entry or agent"}, reason, silence, Field{"directory", "version of the directory"})
	ConfigAccepted = ofControl.change("configAccepted", "A configuration was accepted.",
		"The change is committed and will be in force everywhere.", version, Field{"before", "version that it replaces"}, Field{"change", "id of the change"}, Field{"author", "who published it"}, Field{"tookMillis", "from receipt to commitment"})
	ConfigRefused = ofControl.warning(Refusal, "configRefused", "A configuration was refused.",
		"Nothing was changed.", version, Field{"held", "version that is held"}, Field{"change", "id of the change"}, reason, problem)
	DiskSlow = ofControl.warning(Failure, "diskSlow", "A sync took long.",
		"The data folder's disk is slow.", Field{"tookMillis", "how long the sync took"}, Field{"file", "name of the file"})
	DiskFailed = ofControl.warning(Failure, "diskFailed", "The disk refused a write.",
		"The host acknowledges nothing until a write has succeeded.", Field{"file", "name of the file"}, problem)
)
