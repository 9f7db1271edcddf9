package control

import (
	"context"
	"log/slog"
	"os"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/settings"
	"skylarklane.example/lib/wire"
)

// reloader applies the seeds from the settings file at each signal. The other
// settings take effect at the next start.
type reloader struct {
	file    string
	signals <-chan os.Signal
	control *Control
}

func (r *reloader) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.signals:
		}
		cfg := &wire.ControlSettings{}
		err := settings.Load(r.file, cfg)
		if err == nil {
			err = r.control.SetSeeds(ctx, cfg.GetSeeds())
		}
		if err != nil {
			event.Reloaded.Log(ctx, r.control.log, slog.Bool("used", false), slog.Any("error", err))
		}
	}
}
