// Package process holds what every program of the system does alike: it logs,
// serves HTTP, waits for signals and shuts down.
package process

import (
	"context"
	"io"
	"log/slog"
)

// NewLogger returns a logger whose messages start with the name of the part,
// such as "entry: ". Lines are JSON where json is set, else text.
func NewLogger(w io.Writer, part string, json bool) *slog.Logger {
	var h slog.Handler = slog.NewTextHandler(w, nil)
	if json {
		h = slog.NewJSONHandler(w, nil)
	}
	return slog.New(prefixHandler{Handler: h, prefix: part + ": "})
}

// prefixHandler puts a fixed prefix before each message.
type prefixHandler struct {
	slog.Handler
	prefix string
}

// Handle implements slog.Handler.
func (h prefixHandler) Handle(ctx context.Context, r slog.Record) error {
	r.Message = h.prefix + r.Message
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h prefixHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return prefixHandler{Handler: h.Handler.WithAttrs(attrs), prefix: h.prefix}
}

// WithGroup implements slog.Handler.
func (h prefixHandler) WithGroup(name string) slog.Handler {
	return prefixHandler{Handler: h.Handler.WithGroup(name), prefix: h.prefix}
}
