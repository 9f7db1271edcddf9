package process

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := NewGate()
		is.True(g.Enter())
		is.True(g.Enter())
		g.Close()
		is.True(!g.Enter()) // closed
		is.Equal(g.InFlight(), 2)

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err := g.Wait(ctx)
		var e *Error
		is.True(errors.As(err, &e))
		is.Equal(e.Kind, KindTimeout)

		go func() {
			time.Sleep(time.Second)
			g.Leave()
			g.Leave()
		}()
		is.NoErr(g.Wait(t.Context()))
	})
}

func TestGateEmpty(t *testing.T) {
	g := NewGate()
	g.Close()
	g.Close()
	is.New(t).NoErr(g.Wait(t.Context()))
}
