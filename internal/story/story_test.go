package story

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// textOf returns a log in text form; each line is given as "SECONDS PROCESS
// EVENT FIELDS".
func textOf(lines ...string) string {
	var b strings.Builder
	for _, line := range lines {
		parts := strings.SplitN(line, " ", 4)
		fmt.Fprintf(&b, "%s %s time=2026-01-02T03:04:05Z level=INFO msg=\"entry: A sentence.\" event=%s %s\n", parts[0], parts[1], parts[2], parts[3])
	}
	return b.String()
}

func TestCause(t *testing.T) {
	const (
		received = "1.000 entry-1 jobReceived job=j"
		placed   = "1.010 entry-1 jobPlaced job=j task=j.0.0.0 attempt=1 worker=w1 agent=a1"
		again    = "2.010 entry-1 jobPlaced job=j task=j.0.0.0 attempt=2 worker=w2 agent=a2"
		done     = "2.500 entry-1 runEnded job=j task=j.0.0.0 attempt=2 worker=w2 how=done"
		complete = "2.501 entry-1 jobEnded job=j state=complete startedMillis=10 endedMillis=1500 answeredMillis=1501"
		due      = "1.000 entry-1 jobReceived job=j tasks=2 idealMillis=100 deadlineMillis=3000"
		overdue  = "1.601 entry-1 jobEnded job=j dueMillis=400 endedMillis=600 answeredMillis=601"
		stopped  = "2.100 entry-1 jobAbandoned job=j reason=deadline waitedMillis=1100"
	)
	tests := []struct {
		name  string
		lines []string
		cause string
		says  string
	}{
		{"complete", []string{received, placed, "1.5 entry-1 runEnded job=j task=j.0.0.0 attempt=1 worker=w1 how=done", complete}, "complete", "first start after 10 ms"},
		{"refused, agents lost", []string{"0.1 entry-1 agentLost agent=a1", "0.2 entry-1 agentLost agent=a2", "0.3 entry-1 agentRegained agent=a2", received, "1.1 entry-1 jobRefused job=j reason=queueFull workersWithRoom=0 workersKnown=1"}, "agentsLost", "had lost 1 agents"},
		{"refused, workers ejected", []string{"0.1 entry-1 workerEjected worker=w1", received, "1.1 entry-1 jobRefused job=j reason=queueFull workersWithRoom=0"}, "allEjected", "ejected 1 workers"},
		{"refused, no workers", []string{received, "1.1 entry-1 jobRefused job=j reason=noWorkers workersKnown=0"}, "noWorkers", "none had announced itself"},
		{"refused, old status", []string{received, "1.1 entry-1 jobRefused job=j reason=queueFull ageMillis=900"}, "oldWord", "900 ms old"},
		{"refused by agents", []string{received, placed, "1.02 entry-1 runRefused job=j task=j.0.0.0 attempt=1 reason=refused detail=room", "1.1 entry-1 jobRefused job=j reason=late workersWithRoom=1"}, "launchesRefused", "the last one for room"},
		{"refused, queue full", []string{received, "1.1 entry-1 jobRefused job=j reason=queueFull queue=500 workersWithRoom=0 workersKnown=11"}, "queueFull", "0 of 11 workers"},
		{"refused, leaving", []string{received, "1.1 entry-1 jobRefused job=j reason=leaving"}, "entryLeaving", "entry-1 was shutting down"},
		{"failed on one worker", []string{received, placed, "1.2 entry-1 runEnded job=j task=j.0.0.0 attempt=1 worker=w1 how=failed", "1.3 entry-1 jobPlaced job=j task=j.0.0.0 attempt=2 worker=w1", "1.4 entry-1 runEnded job=j task=j.0.0.0 attempt=2 worker=w1 how=failed", "1.5 entry-1 jobFailed job=j reason=attempts task=j.0.0.0"}, "oneWorker", "worker w1"},
		{"failed on two workers", []string{received, placed, "1.2 entry-1 runEnded job=j task=j.0.0.0 attempt=1 worker=w1 how=failed", again, "2.4 entry-1 runEnded job=j task=j.0.0.0 attempt=2 worker=w2 how=failed", "2.5 entry-1 jobFailed job=j reason=attempts task=j.0.0.0 maxAttempts=2"}, "taskFails", "2 runs on w1, w2"},
		{"failed, never fits", []string{received, "1.5 entry-1 jobFailed job=j reason=neverFits need=64000"}, "neverFits", "64000"},
		{"delayed by a silent worker", []string{received, placed, "1.5 a1 workerSilent worker=w1 silentMillis=400", again, done, complete}, "lostWorker", "w1 when a1 logged"},
		{"delayed by a lost agent", []string{received, placed, "1.5 entry-1 agentLost agent=a1", again, done, complete}, "lostWorker", "1000 ms after"},
		{"a loss after the end does not count", []string{received, placed, "1.1 entry-1 runEnded job=j task=j.0.0.0 attempt=1 worker=w1 how=done", "1.2 entry-1 agentLost agent=a1", complete}, "complete", ""},
		{"abandoned, request unanswered", []string{received, placed, "1.5 a1 orderUnanswered job=j task=j.0.0.0 worker=w1 what=start tries=3", stopped}, "orderUnanswered", "j.0.0.0"},
		{"abandoned in the queue", []string{received, stopped}, "neverPlaced", "deadline"},
		{"abandoned during a run", []string{received, placed, stopped}, "slowRun", "for 1090 ms"},
		{"abandoned, entry paused", []string{received, placed, "9.0 entry-1 processPaused gapMillis=7900", "9.001 entry-1 jobAbandoned job=j reason=callerLeft answeredMillis=8001"}, "entryPaused", "7900 ms, until 8000 ms after"},
		{"refused, entry paused before", []string{"0.990 entry-1 processPaused gapMillis=6206", received, "1.001 entry-1 jobRefused job=j reason=hopeless workersWithRoom=8 workersKnown=11"}, "entryPaused", "10 ms before"},
		{"abandoned, another entry paused", []string{received, placed, "1.2 entry-2 processPaused gapMillis=7900", "1.3 entry-1 runHalted job=j task=j.0.0.0 attempt=1 reason=jobEnded expectedMillis=400", "1.3 entry-1 jobAbandoned job=j reason=callerLeft answeredMillis=300 dueMillis=500 tasksLeft=1 running=1"}, "callerLeft", "left after 300 ms"},
		{"abandoned, deadline too short", []string{"1.000 entry-1 jobReceived job=j deadlineMillis=160 idealMillis=173", "1.161 entry-1 jobAbandoned job=j reason=callerLeft answeredMillis=161"}, "neverPlaced", "callerLeft"},
		{"refused, deadline too short", []string{"1.000 entry-1 jobReceived job=j deadlineMillis=160 idealMillis=173", "1.161 entry-1 jobRefused job=j reason=callerLeft answeredMillis=161"}, "callerLeft", "takes 173 ms"},
		{"refused, entry just started", []string{"0.1 entry-1 agentLost agent=a1 incarnation=1", "0.5 entry-1 processStarted incarnation=2", "1.000 entry-1 jobReceived job=j incarnation=2", "1.1 entry-1 jobRefused job=j reason=noWorkers workersKnown=0 incarnation=2"}, "entryStarted", "600 ms before"},
		{"refused, agents lost by the entry's former incarnation", []string{"0.1 entry-1 agentLost agent=a1 incarnation=1", "1.000 entry-1 jobReceived job=j incarnation=2", "1.1 entry-1 jobRefused job=j reason=queueFull queue=5 workersWithRoom=0 workersKnown=1 incarnation=2"}, "queueFull", "5 waited"},
		{"late, slow run", []string{due, placed, "1.05 entry-1 jobPlaced job=j task=j.0.0.1 attempt=1 worker=w3", "1.2 a1 runFinished task=j.0.0.0 attempt=1 entry=entry-1 worker=w1 how=done", "1.6 a3 runFinished task=j.0.0.1 attempt=1 entry=entry-1 worker=w3 how=done", overdue}, "overdue", "j.0.0.1/1 took 550 ms on worker w3"},
		{"late, waited for capacity", []string{due, placed, "1.02 entry-1 runRefused job=j task=j.0.0.1 attempt=1 reason=refused detail=noRoom", "1.5 entry-1 jobPlaced job=j task=j.0.0.1 attempt=2 worker=w3", "1.2 a1 runFinished task=j.0.0.0 attempt=1 entry=entry-1 worker=w1 how=done", overdue}, "overdue", "j.0.0.1 waited 500 ms for free capacity on a worker (1 launches"},
		{"late, run failed", []string{due, placed, "1.4 entry-1 runRetried job=j task=j.0.0.0 attempt=1 worker=w1 reason=failed", "1.5 entry-1 jobPlaced job=j task=j.0.0.0 attempt=2 worker=w2", "1.05 entry-1 jobPlaced job=j task=j.0.0.1 attempt=1 worker=w3", "1.1 a3 runFinished task=j.0.0.1 attempt=1 entry=entry-1 worker=w3 how=done", overdue}, "overdue", "j.0.0.0/1 on worker w1 did not complete its task (failed)"},
		{"late, ends dropped", []string{due, placed, "1.05 entry-1 jobPlaced job=j task=j.0.0.1 attempt=1 worker=w3", overdue}, "overdue", "dropped; the latest known run, j.0.0.1/1"},
		{"late, response delayed", []string{due, placed, "1.61 entry-1 jobEnded job=j dueMillis=400 endedMillis=300 answeredMillis=610"}, "overdue", "done 310 ms before its response"},
		{"submitted again", []string{received, placed, "1.5 entry-1 processFailed error=x", "2.400 entry-2 jobReceived job=j", "2.6 entry-2 jobEnded job=j"}, "cameAgain", "entry-1 was lost"},
		{"entry restarted", []string{"1.000 entry-1 jobReceived job=j incarnation=1", "1.2 entry-1 processStarted incarnation=2"}, "entryLost", "incarnation 2"},
		{"lines dropped", []string{received, "1.2 entry-1 linesLeftOut sampledOut.jobEnded=4"}, "linesLeftOut", ""},
		{"no end", []string{received}, "unknown", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			log := NewLog("j")
			is.NoErr(log.Read("log", strings.NewReader(textOf(test.lines...))))
			s, err := Reconstruct(log)
			is.NoErr(err)
			is.Equal(s.Cause.Name, test.cause)
			if !strings.Contains(s.Cause.Sentence, test.says) {
				t.Errorf("%q does not contain %q", s.Cause.Sentence, test.says)
			}
		})
	}
}

func TestSelectsWhatBears(t *testing.T) {
	is := is.New(t)
	log := NewLog("j.0.0.0")
	is.NoErr(log.Read("log", strings.NewReader(textOf(
		"0.1 entry-1 configInForce version=7",
		"0.2 a1 workerSilent worker=w1",
		"0.3 a1 workerRegained worker=w1",
		"1.0 entry-1 jobReceived job=j",
		"1.0 entry-1 jobReceived job=other",
		"1.1 entry-1 jobPlaced job=j task=j.0.0.0 attempt=1 worker=w1 agent=a1",
		"1.1 entry-1 jobPlaced job=j task=j.0.0.1 attempt=1 worker=w3 agent=a3",
		"1.2 a2 workerSilent worker=w2",
		"1.3 control-1 leaderChanged leader=control-2",
		"1.4 a1 runStarted task=j.0.0.0 attempt=1 entry=entry-1",
		"9.0 a1 workerSilent worker=w1",
	))))
	s, err := Reconstruct(log)
	is.NoErr(err)
	var events []string
	for _, l := range s.Lines {
		events = append(events, l.Event)
	}
	is.Equal(events, []string{"configInForce", "workerSilent", "workerRegained", "jobReceived", "jobPlaced", "leaderChanged", "runStarted"})
	is.Equal(s.NotSeen, []string{
		"no end of the job at entry-1",
		"no end of run j.0.0.0/1 at worker w1",
		"no end of run j.0.0.1/1 at worker w3",
		"no line from agent a3",
	})
}

func TestOrderByTimeSinceStart(t *testing.T) {
	is := is.New(t)
	log := NewLog("j")
	is.NoErr(log.Read("log", strings.NewReader(strings.Join([]string{
		`time=2026-01-01T00:00:01.000Z level=INFO msg=third event=jobEnded job=j process=e up=3000`,
		`time=2026-01-01T00:00:00.000Z level=INFO msg=second event=jobPlaced job=j process=e up=2000`,
		`time=2026-01-01T05:00:00.000Z level=INFO msg=first event=jobReceived job=j process=e up=1000`,
	}, "\n"))))
	s, err := Reconstruct(log)
	is.NoErr(err)
	is.Equal([]string{s.Lines[0].Message, s.Lines[1].Message, s.Lines[2].Message}, []string{"first", "second", "third"})
}

func TestParse(t *testing.T) {
	tests := []struct {
		name, text    string
		process, job  string
		event, reason string
		none          bool
	}{
		{"JSON", `{"time":"2026-01-01T00:00:00Z","msg":"entry: x.","process":"e1","event":"jobRefused","job":"j","reason":"late"}`, "e1", "j", "jobRefused", "late", false},
		{"text", `time=2026-01-01T00:00:00Z msg="entry: x = \"y\"." process=e1 event=jobRefused job=j reason=late`, "e1", "j", "jobRefused", "late", false},
		{"prefixed JSON", `[  12.345] front-a/entry | {"msg":"entry: x.","event":"jobRefused","task":"j.0.1.2","reason":"late"}`, "front-a", "j", "jobRefused", "late", false},
		{"prefixed text", `12.345s front-a time=2026-01-01T00:00:00Z msg=x event=jobRefused job=j reason=late`, "front-a", "j", "jobRefused", "late", false},
		{"nested", `{"msg":"x","process":"e1","job":"j","event":"a","free":{"cpu":3},"reason":"late"}`, "e1", "j", "a", "late", false},
		{"truncated by a line of another process", `12.345 front-b {"time":"2026-01-01T00:00:00Z","msg":"a  12.346 front-a {"msg":"entry: x.","event":"jobRefused","job":"j","reason":"late"}`, "front-a", "j", "jobRefused", "late", false},
		{"truncated by a line of the same process", `  8.706 front-a/entry {"time":"2026-01-01T00:00:00Z","event":"jobReceived","job":"i","factor":0.25,"process":{"time":"2026-01-01T00:00:01Z","msg":"entry: x.","process":"front-a","event":"processPaused","reason":"late"}`, "front-a", "", "processPaused", "late", false},
		{"other text", `panic: a=b`, "", "", "", "", true},
		{"truncated", `{"msg":"x","job":"j`, "", "", "", "", true},
		{"empty", ``, "", "", "", "", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			l := parse(test.text)
			is.Equal(l == nil, test.none)
			if l == nil {
				return
			}
			is.Equal(l.Process, test.process)
			is.Equal(l.Job(), test.job)
			is.Equal(l.Event, test.event)
			is.Equal(l.Fields[fieldReason], test.reason)
		})
	}
}

// TestPrefixOfCutLine checks that a line inside a truncated one gets the time of
// the truncated line's prefix, even if that time is negative.
func TestPrefixOfCutLine(t *testing.T) {
	is := is.New(t)
	const text = `  -8.706 front-a/entry {"time":"x","event":"jobReceived","job":"i","factor":0.25,"process":{"time":"y","msg":"entry: x.","event":"processPaused"}`
	is.Equal(readHeader(text, "other"), nil)
	is.Equal(parse(text).At.UnixMilli(), int64(-8706))
}

func FuzzParse(f *testing.F) {
	f.Add(`12.3 a {"msg":"x","a":{"b":1}}`)
	f.Add(`time=x msg="y z" a=b`)
	f.Fuzz(func(_ *testing.T, text string) { parse(text) })
}
