package control

import (
	"context"
	"log/slog"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/settings"
	"skylarklane.example/lib/wire"
)

// seedReloader reads the settings file again at each request and applies its
// seeds and data centres. The other settings take effect only at the next start.
type seedReloader struct {
	file     string
	requests <-chan struct{}
	control  *Control
}

func (r *seedReloader) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.requests:
		}
		cfg := &wire.ControlSettings{}
		err := settings.Load(r.file, cfg)
		if err == nil {
			r.control.SetDataCentres(cfg.GetDataCentres())
			err = r.control.SetSeeds(ctx, cfg.GetSeeds())
		}
		if err != nil {
			event.Reloaded.Log(ctx, r.control.log, slog.Bool("used", false), slog.Any("error", err))
			continue
		}
		event.Reloaded.Log(ctx, r.control.log, slog.Bool("used", true), slog.Any("seeds", cfg.GetSeeds()))
	}
}
