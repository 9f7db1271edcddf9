package quorum

import (
	"context"
	"io"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestSeedsChangeWhileFolderIsRead guards against a host that goes on with old
// seeds because they changed while it was reading its data folder.
func TestSeedsChangeWhileFolderIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		folder, hang := newMemoryFolder(), make(chan struct{})
		open := func() (Folder, error) {
			folder.setHang(hang)
			return folder, nil
		}
		cfg := Config{ID: "a", Address: "a", Seeds: []string{"old"}, Now: (&clock{}).now}
		h := NewHost(cfg, &link{c: newCluster(t), from: "a"}, open, &commandLog{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- h.Run(ctx) }()
		time.Sleep(time.Second) // the host reads its folder
		is.NoErr(h.SetSeeds(ctx, []string{"new"}))
		folder.setHang(nil)
		close(hang)
		time.Sleep(time.Second)
		addresses := h.group().(*Node).addresses()
		cancel()
		is.NoErr(<-done)
		t.Log(addresses)
		is.True(slices.Contains(addresses, "new"))
	})
}
