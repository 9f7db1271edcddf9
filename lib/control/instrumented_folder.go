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

// slowSyncThreshold is the minimum duration of a sync that is logged as slow.
const slowSyncThreshold = 200 * time.Millisecond

// instrumentedFolder is a data folder that measures the duration of its syncs
// and logs slow ones.
type instrumentedFolder struct {
	quorum.Folder
	syncs tally.Histogram
	log   *slog.Logger
}

func newInstrumentedFolder(folder quorum.Folder, log *slog.Logger, scope tally.Scope) quorum.Folder {
	return &instrumentedFolder{Folder: folder, syncs: metric.NewDurationHistogram(scope, "syncs"), log: log}
}

// Replace implements quorum.Folder.
func (d *instrumentedFolder) Replace(name string, b []byte) error {
	defer d.recordSync(time.Now())
	return d.Folder.Replace(name, b)
}

// Append implements quorum.Folder.
func (d *instrumentedFolder) Append(name string, b []byte) error {
	defer d.recordSync(time.Now())
	return d.Folder.Append(name, b)
}

func (d *instrumentedFolder) recordSync(start time.Time) {
	took := time.Since(start)
	d.syncs.RecordDuration(took)
	if took >= slowSyncThreshold {
		event.DiskSlow.Log(context.Background(), d.log, slog.Int64("tookMillis", took.Milliseconds()))
	}
}
