package event

import "log/slog"

var ofControl = section{PartControl}

// What control hosts log.
var (
	LeaderChanged = ofControl.change("leaderChanged", "The control group's leader changed.",
		"This host leads, follows another leader, or knows none.",
		Field{"leader", "id of the leader, empty where none is known"}, Field{"former", "id of the last leader"}, address, term, reason, silence)
	ElectionStarted = ofControl.change("electionStarted", "This host stands for election.",
		"It has heard no leader for long and a quorum would vote for it.", term)
	FounderChosen = ofControl.change("founderChosen", "The founder of the group is chosen.",
		"Hosts that have no disk agree on which host with one founds the group.", host, address)
	GroupFounded = ofControl.change("groupFounded", "The control group was founded.",
		"The first hosts agree on the group's members.", Field{"group", "the group's number"}, Field{"hosts", "hosts of the group"})
	GroupJoined = ofControl.change("groupJoined", "This host joined the control group.",
		"Its new data folder belongs to the group from now on.", Field{"group", "the group's number"}, Field{"folder", "number of the data folder"})
	HostAdmitted = ofControl.change("hostAdmitted", "A control host gets its vote.",
		"The host has caught up with the log.", host)
	HostRemoved = ofControl.warning(Change, "hostRemoved", "A control host is removed from the group.",
		"The host has not answered for long.", host, address, silence, Field{"voter", "whether it voted"}, Field{"reached", "voters that answer"})
	HostRejoined = ofControl.warning(Change, "hostRejoined", "A control host comes with a new data folder.",
		"The host follows without a vote until it has caught up.", host, address, Field{"folder", "number of the data folder"}, Field{"known", "whether the group had the host"})
	FolderRead = ofControl.change("folderRead", "The data folder was read.",
		"The host takes part from now on; it stands for election once a leader that it may have followed before can't serve any more.",
		Field{"tookMillis", "how long the disk and the reading took"}, term, Field{"entries", "entries of the log"},
		Field{"applied", "entries that a snapshot covers"}, Field{"group", "the group's number, 0 for a new folder"})
	HostStartsOver = ofControl.warning(Change, "hostStartsOver", "This host starts over with a new data folder.",
		"Its folder was replaced or is corrupt, and the group lives.", host)
	HostFailed = ofControl.add(Failure, slog.LevelError, "hostFailed", "This host stops taking part for now.",
		"Its data folder can't be used; it tries again.", problem)
	GroupChanged = ofControl.warning(Change, "groupChanged", "An operator changed the control group.",
		"A host was added or removed by order.", host, Field{"remove", "whether it was removed"})
	SeedsSet = ofControl.change("seedsSet", "The seeds were set.",
		"The settings name other control hosts than before.", Field{"seeds", "addresses of control hosts"})
	MemberJoined = ofControl.change("memberJoined", "An entry or agent joined or changed.",
		"The member is in the directory, or leaves it in good order.", member, incarnation, Field{"role", "entry or agent"}, address, Field{"leaving", "whether it leaves"})
	MemberDead = ofControl.warning(Change, "memberDead", "An entry or agent is declared dead.",
		"The member has not renewed its lease.", member, incarnation)
	DecisionInDoubt = ofControl.warning(Failure, "decisionInDoubt", "A decision is in doubt.",
		"The leader could not commit it in time; it is taken again.", problem)
	ConfigAccepted = ofControl.change("configAccepted", "A configuration was accepted.",
		"The change is committed and will be in force everywhere.", version, declared, changeID, digest)
	ConfigRefused = ofControl.warning(Refusal, "configRefused", "A configuration was refused.",
		"Nothing was changed.", version, declared, changeID, digest, reason, problem)
	ConfigInDoubt = ofControl.warning(Failure, "configInDoubt", "A configuration is not acknowledged.",
		"It may or may not be accepted: the group could not tell in time.", declared, changeID, problem)
	DiskSlow = ofControl.warning(Failure, "diskSlow", "A sync took long.",
		"The data folder's disk is slow.", Field{"tookMillis", "how long the sync took"})
	KeepRefused = ofControl.warning(Refusal, "keepRefused", "A job is not stored.",
		"The store has no room, or the id belongs to a job of other content.", job, reason, entry)
	NoteRefused = ofControl.warning(Refusal, "noteRefused", "News of a job are not stored.",
		"The job is another owner's by now, or is not known.", job, reason, entry, epoch)
	JobClaimed = ofControl.change("jobClaimed", "A stored job has a new owner.",
		"Its former owner is dead.", job, entry, epoch)
)
