package membership

import (
	"context"
	"log/slog"

	"github.com/uber-go/tally/v4"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

// EnableMetrics makes the follower report the gauge data_centres_evacuated.
func (f *Follower) EnableMetrics(scope tally.Scope) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuatedGauge = scope.Gauge("data_centres_evacuated")
	f.updateEvacuatedGauge(f.directory)
}

// recordEvacuations logs the evacuations that the next directory changes, and
// updates the gauge.
func (f *Follower) recordEvacuations(next *wire.Directory) {
	before := map[string]uint64{}
	for _, d := range f.directory.GetDataCentres() {
		before[d.GetName()] = d.GetVersion()
	}
	for _, d := range next.GetDataCentres() {
		if d.GetVersion() > before[d.GetName()] {
			event.EvacuationInForce.Log(context.Background(), f.log, slog.String("dataCentre", d.GetName()),
				slog.Bool("evacuated", d.GetEvacuated()), slog.Uint64("version", d.GetVersion()))
		}
	}
	f.updateEvacuatedGauge(next)
}

func (f *Follower) updateEvacuatedGauge(d *wire.Directory) {
	if f.evacuatedGauge == nil {
		return
	}
	n := 0
	for _, one := range d.GetDataCentres() {
		if one.GetEvacuated() {
			n++
		}
	}
	f.evacuatedGauge.Update(float64(n))
}
