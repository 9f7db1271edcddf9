package control

import (
	"context"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/metric"
	"skylarklane.example/lib/quorum"
)

// slowSync is the time from which a sync is logged.
const slowSync = 200 * time.Millisecond

// disk is a data folder whose syncs are measured.
type disk struct {
	quorum.Folder
	syncs tally.Histogram
	log   *slog.Logger
}

func newDisk(folder quorum.Folder, log *slog.Logger, scope tally.Scope) quorum.Folder {
	return &disk{Folder: folder, syncs: metric.Durations(scope, "syncs"), log: log}
}

// Replace implements quorum.Folder.
func (d *disk) Replace(name string, b []byte) error {
	defer d.measure(time.Now())
	return d.Folder.Replace(name, b)
}

// Append implements quorum.Folder.
func (d *disk) Append(name string, b []byte) error {
	defer d.measure(time.Now())
	return d.Folder.Append(name, b)
}

func (d *disk) measure(start time.Time) {
	took := time.Since(start)
	d.syncs.RecordDuration(took)
	if took >= slowSync {
		event.DiskSlow.Log(context.Background(), d.log, slog.Int64("tookMillis", took.Milliseconds()))
	}
}
