package lease

import (
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
)

// TestOddAnnouncementsChangeNothing guards against an announcement of another
// writer that takes the place of the worker: the worker was lost, or what the
// agent reported of it could not be encoded.
func TestOddAnnouncementsChangeNothing(t *testing.T) {
	tests := []struct {
		name string
		set  func(a *Announcement)
	}{
		{"port 0", func(a *Announcement) { a.Address = "10.0.0.1:0" }},
		{"port 65536", func(a *Announcement) { a.Address = "10.0.0.1:65536" }},
		{"port 99999", func(a *Announcement) { a.Address = "10.0.0.1:99999" }},
		{"negative port", func(a *Announcement) { a.Address = "10.0.0.1:-1" }},
		{"no port", func(a *Announcement) { a.Address = "10.0.0.1" }},
		{"host name", func(a *Announcement) { a.Address = "worker:80" }},
		{"a path", func(a *Announcement) { a.Address = "10.0.0.1:80/x" }},
		{"id of unreadable bytes", func(a *Announcement) { a.ID = "w\xff" }},
		{"id with a line break", func(a *Announcement) { a.ID = "w\n1" }},
		{"long id", func(a *Announcement) { a.ID = strings.Repeat("w", 1000) }},
		{"long service", func(a *Announcement) { a.Service = strings.Repeat("s", 1000) }},
		{"large sequence", func(a *Announcement) { a.Sequence = 1 << 60 }},
		{"large start time", func(a *Announcement) { a.Born = 1 << 60 }},
		{"large clock", func(a *Announcement) { a.ClockMillis = 1 << 60 }},
		{"large capacity", func(a *Announcement) { a.CPUMillis = 1 << 62 }},
		{"large memory", func(a *Announcement) { a.MemoryMB = 1 << 62 }},
		{"large accelerators", func(a *Announcement) { a.Accelerators = 1 << 62 }},
		{"many labels", func(a *Announcement) { a.Labels = make([]string, 10000) }},
		{"long label", func(a *Announcement) { a.Labels = []string{strings.Repeat("l", 10000)} }},
		{"label of unreadable bytes", func(a *Announcement) { a.Labels = []string{"\xff"} }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withDriver(t, func(d *driver) {
				d.watch(entryOne, 0)
				d.mustAccept(entryOne, 1, "a")
				odd := d.w.announcement
				odd.Sequence++
				odd.Born++
				tt.set(&odd)
				d.workers[odd.IncarnationName()] = newFakeWorker(odd.ID, odd.Born)
				refusal := d.manager.Announce(odd)
				reply := d.watchFor(entryOne, 500)
				_, err := proto.Marshal(reply)
				d.NoErr(err)
				d.Equal(reply.GetWorker().GetId(), "w1@1000")
				d.Equal(len(reply.GetEnds()), 0)
				d.Equal(d.w.runningTasks(), []string{"a"})
				d.w.announcement.Draining = true
				d.announce(d.w)
				d.Equal(d.watch(entryOne, 0).GetWorker().GetReason(), "workerDraining")
				d.True(refusal != nil)
			})
		})
	}
}

// TestOddEndsLeaveOthersReported guards against an end by another writer, or one
// that can't be read, that loses or delays the other ends.
func TestOddEndsLeaveOthersReported(t *testing.T) {
	const goodEnd = 2
	tests := []struct {
		name string
		odd  Ended
		// ackedEarly and ackedLate are the ends acknowledged after one and four
		// seconds.
		ackedEarly, ackedLate uint64
	}{
		{"unreadable", Ended{Number: 1}, 0, goodEnd},
		{"number far ahead", Ended{Number: 1 << 50, Task: "x", Run: 1, How: Done}, goodEnd, goodEnd},
		{"unreadable, number far ahead", Ended{Number: 1 << 50}, goodEnd, goodEnd},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withDriver(t, func(d *driver) {
				d.watch(entryOne, 0)
				d.mustAccept(entryOne, 1, "first")
				d.mustAccept(entryOne, 1, "second")
				d.sleep(10)
				d.w.withLock(func() { d.w.lastEnd, d.w.ends = 1, []Ended{tt.odd} })
				d.w.finish("first", 1, Done)
				d.sleep(20)
				d.Equal(endsOf(d.watch(entryOne, 0)), map[runKey]string{{"first", 1}: "DONE "})
				d.w.withLock(func() { d.w.holds = nil })
				d.watchFor(entryOne, 1000)
				d.Equal(d.acknowledged(), tt.ackedEarly)
				d.True(len(d.w.holds) < 60)
				d.watchFor(entryOne, 3000)
				d.Equal(d.acknowledged(), tt.ackedLate)
				d.Equal(d.w.runningTasks(), []string{"second"})
				d.w.finish("second", 1, Failed)
				d.sleep(60)
				d.Equal(endsOf(d.watch(entryOne, 0)), map[runKey]string{{"first", 1}: "DONE ", {"second", 1}: "FAILED failed"})
			})
		})
	}
}

// TestUnreadableEndThatIsReadLater guards against the loss of an end that could
// be read only when it was listed again.
func TestUnreadableEndThatIsReadLater(t *testing.T) {
	withDriver(t, func(d *driver) {
		d.watch(entryOne, 0)
		d.mustAccept(entryOne, 1, "a")
		d.sleep(10)
		d.w.withLock(func() {
			d.w.onHold = func(_ Hold, apply func() Report) (Report, error) {
				r := apply()
				for i := range r.Ended {
					r.Ended[i] = Ended{Number: r.Ended[i].Number}
				}
				return r, nil
			}
		})
		d.watchFor(entryOne, 400)
		d.w.finish("a", 1, Done)
		d.Equal(len(d.watchFor(entryOne, 500).GetEnds()), 0)
		d.w.withLock(func() { d.w.onHold = nil })
		d.Equal(endsOf(d.watchFor(entryOne, 200)), map[runKey]string{{"a", 1}: "DONE "})
		d.Equal(d.acknowledged(), uint64(1))
	})
}

// TestAnnouncementOfNoWorkerChangesNothing guards against a well-formed
// announcement by another writer that takes the worker's place.
func TestAnnouncementOfNoWorkerChangesNothing(t *testing.T) {
	tests := []struct {
		name   string
		odd    func(a *Announcement)
		silent bool
	}{
		{"later start", func(a *Announcement) { a.Born = 9000 }, false},
		{"later start at an address without a worker", func(a *Announcement) { a.Born, a.Address = 9000, "10.0.0.9:80" }, true},
		{"other id", func(a *Announcement) { a.ID, a.Born = "odd", 9000 }, false},
		{"other id at an address without a worker", func(a *Announcement) { a.ID, a.Born, a.Address = "odd", 9000, "10.0.0.9:80" }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withDriver(t, func(d *driver) {
				d.watch(entryOne, 0)
				d.mustAccept(entryOne, 1, "a")
				odd := d.w.announcement
				tt.odd(&odd)
				d.workers[odd.IncarnationName()] = d.w
				if tt.silent {
					none := newFakeWorker(odd.ID, odd.Born)
					none.silent = true
					d.workers[odd.IncarnationName()] = none
				}
				for range 5 {
					d.NoErr(d.manager.Announce(odd))
					d.watchFor(entryOne, 300)
				}
				reply := d.watch(entryOne, 0)
				d.Equal(reply.GetWorker().GetId(), "w1@1000")
				d.Equal(len(reply.GetEnds()), 0)
				d.Equal(d.w.runningTasks(), []string{"a"})
				d.w.announcement.Draining = true
				d.announce(d.w)
				d.Equal(d.watch(entryOne, 0).GetWorker().GetReason(), "workerDraining")
			})
		})
	}
}

// TestWorkerAnnouncedAfterAnOddOne guards against an announcement by another
// writer that comes first and shuts the worker out.
func TestWorkerAnnouncedAfterAnOddOne(t *testing.T) {
	withoutWorker(t, func(d *driver) {
		odd := newFakeWorker("odd", 9000)
		odd.silent = true
		d.announce(odd)
		d.announce(d.w)
		d.watchFor(entryOne, 500)
		d.announce(d.w)
		d.watchFor(entryOne, 100)
		d.Equal(d.watch(entryOne, 0).GetWorker().GetId(), "w1@1000")
		d.mustAccept(entryOne, 1, "a")
	})
}

// TestClockOfAnOddAnnouncement guards against a clock reading by another writer
// that lengthens the worker's lease.
func TestClockOfAnOddAnnouncement(t *testing.T) {
	withDriver(t, func(d *driver) {
		d.watch(entryOne, 0)
		d.mustAccept(entryOne, 1, "a")
		odd := d.w.announcement
		odd.ClockMillis = 1 << 50
		d.NoErr(d.manager.Announce(odd))
		d.watchFor(entryOne, 500)
		d.w.mu.Lock()
		defer d.w.mu.Unlock()
		for _, q := range d.w.holds {
			d.True(q.DeadlineMillis <= d.w.clock()+DefaultLease.Milliseconds())
		}
	})
}

// TestWorkerIsHeardAfterAnOddSequence guards against a sequence number by another
// writer that has the worker's own announcements ignored for ever.
func TestWorkerIsHeardAfterAnOddSequence(t *testing.T) {
	withDriver(t, func(d *driver) {
		odd := d.w.announcement
		odd.Sequence = 1 << 50
		odd.CPUMillis = 1
		d.NoErr(d.manager.Announce(odd))
		for range 12 {
			d.announce(d.w)
			d.watchFor(entryOne, 300)
		}
		d.mustAccept(entryOne, 1, "a")
		d.w.announcement.Draining = true
		d.announce(d.w)
		d.Equal(d.watch(entryOne, 0).GetWorker().GetReason(), "workerDraining")
	})
}
