package control

import (
	"context"
	"log/slog"
	"os"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/process"
	"skylarklane.example/lib/settings"
	"skylarklane.example/lib/wire"
)

// seedReloader reads the settings file again at each signal and applies its
// seeds. The other settings take effect only at the next start.
type seedReloader struct {
	file    string
	signals *process.Signals
	hangUp  <-chan os.Signal
	control *Control
}

func (r *seedReloader) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case taken := <-r.hangUp:
			r.signals.LogSignal(taken, r.control.log)
		}
		cfg := &wire.ControlSettings{}
		err := settings.Load(r.file, cfg)
		if err == nil {
			err = r.control.SetSeeds(ctx, cfg.GetSeeds())
		}
		if err != nil {
			event.Reloaded.Log(ctx, r.control.log, slog.Bool("used", false), slog.Any("error", err))
			continue
		}
		event.Reloaded.Log(ctx, r.control.log, slog.Bool("used", true), slog.Any("seeds", cfg.GetSeeds()))
	}
}
