package event

import "log/slog"

var controlSection = section{PartControl}

// Events that control hosts log.
var (
	LeaderChanged = controlSection.change("leaderChanged", "The control group's leader changed.",
		"This host is the leader, follows another leader, or knows no leader.",
		Field{"leader", "id of the leader, empty if none is known"}, Field{"former", "id of the former leader"}, address, term, reason, silence)
	ElectionStarted = controlSection.change("electionStarted", "This host started an election.",
		"It received no message from a leader within the election timeout and a quorum would vote for it.", term)
	FounderChosen = controlSection.change("founderChosen", "The founder of the control group was chosen.",
		"Hosts without a disk agree on which host with a disk founds the group.", host, address)
	GroupFounded = controlSection.change("groupFounded", "The control group was founded.",
		"The first hosts agreed on the group's members.", Field{"group", "the group's number"}, Field{"hosts", "hosts in the group"})
	GroupJoined = controlSection.change("groupJoined", "This host joined the control group.",
		"Its new data folder is now bound to the group.", Field{"group", "the group's number"}, Field{"folder", "number of the data folder"})
	HostAdmitted = controlSection.change("hostAdmitted", "A control host became a voter.",
		"The host has replicated the log up to its end.", host)
	HostRemoved = controlSection.warning(Change, "hostRemoved", "A control host was removed from the group.",
		"The host did not respond within the removal timeout.", host, address, silence, Field{"voter", "whether it was a voter"}, Field{"reached", "number of voters that respond"})
	HostRejoined = controlSection.warning(Change, "hostRejoined", "A control host rejoined with a new data folder.",
		"The host is a non-voting follower until it has caught up with the log.", host, address, Field{"folder", "number of the data folder"}, Field{"known", "whether the group already had the host"})
	FolderRead = controlSection.change("folderRead", "The data folder was read.",
		"The host takes part in the group from now on. It waits with elections until the lease of any leader that it may have followed has expired.",
		Field{"tookMillis", "time until the disk was available and read"}, term, Field{"entries", "number of log entries"},
		Field{"applied", "number of log entries covered by a snapshot"}, Field{"group", "the group's number, 0 for a new folder"})
	HostStartsOver = controlSection.warning(Change, "hostStartsOver", "This host restarts with a new data folder.",
		"Its data folder was replaced or is corrupt, and the rest of the group is available.", host)
	HostFailed = controlSection.add(Failure, slog.LevelError, "hostFailed", "This host can't take part in the group for now.",
		"Its data folder can't be used; it retries.", errorText)
	GroupChanged = controlSection.warning(Change, "groupChanged", "An operator changed the control group.",
		"A host was added or removed at the operator's request.", host, Field{"remove", "whether the host was removed"})
	SeedsSet = controlSection.change("seedsSet", "The seed addresses have changed.",
		"The settings list other control hosts than before.", Field{"seeds", "addresses of control hosts"})
	MemberJoined = controlSection.change("memberJoined", "An entry or agent joined or changed its registration.",
		"The member was added to or updated in the directory, or announced its departure.", member, incarnation, Field{"role", "entry or agent"}, address, Field{"leaving", "whether the member is leaving"})
	MemberDead = controlSection.warning(Change, "memberDead", "An entry or agent was declared dead.",
		"The member did not renew its lease.", member, incarnation)
	DecisionInDoubt = controlSection.warning(Failure, "decisionInDoubt", "The outcome of a decision is unknown.",
		"The leader could not commit it in time; the decision is made again.", errorText)
	ConfigAccepted = controlSection.change("configAccepted", "A configuration was accepted.",
		"The change is committed and will be applied by all processes.", version, declared, changeID, digest)
	ConfigRefused = controlSection.warning(Refusal, "configRefused", "A configuration was refused.",
		"Nothing was changed.", version, declared, changeID, digest, reason, errorText)
	ConfigInDoubt = controlSection.warning(Failure, "configInDoubt", "The outcome of a configuration change is unknown.",
		"The group could not confirm in time whether the change was accepted.", declared, changeID, errorText)
	EvacuationBegun = controlSection.warning(Change, "evacuationBegun", "The evacuation of a data centre has begun.",
		"The change is committed; no task starts on the workers there once it has reached the members.", dataCentre, evacuation)
	EvacuationFinished = controlSection.change("evacuationFinished", "The evacuation of a data centre is finished.",
		"The change is committed; tasks start on the workers there again once it has reached the members.", dataCentre, evacuation)
	EvacuationRefused = controlSection.warning(Refusal, "evacuationRefused", "A call to begin or finish an evacuation was refused.",
		"Nothing was changed.", dataCentre, evacuation, operation, reason)
	EvacuationInDoubt = controlSection.warning(Failure, "evacuationInDoubt", "The outcome of a call to begin or finish an evacuation is unknown.",
		"The group did not confirm it in time, or its caller left; the version is the one that this host knew when the call came in.", dataCentre, evacuation, operation, errorText)
	DiskSlow = controlSection.warning(Failure, "diskSlow", "A disk sync was slow.",
		"The sync of the data folder took longer than the limit.", Field{"tookMillis", "duration of the sync"})
	KeepRefused = controlSection.warning(Refusal, "keepRefused", "A durable job was not stored.",
		"The store is full, or the id is in use by a job with other content.", job, reason, entry)
	NoteRefused = controlSection.warning(Refusal, "noteRefused", "An update of a durable job was not stored.",
		"The job has a new owner, or is not known to the store.", job, reason, entry, epoch)
	JobClaimed = controlSection.change("jobClaimed", "A durable job has a new owner.",
		"The former owner was declared dead.", job, entry, epoch)
)
