package control

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"skylarklane.example/lib/quorum"
)

// slowFolder is a folder whose syncs take a fixed time.
type slowFolder struct {
	quorum.Folder
	syncTime time.Duration
}

func (f *slowFolder) Append(string, []byte) error {
	time.Sleep(f.syncTime)
	return nil
}

func TestSlowSyncIsLogged(t *testing.T) {
	for _, test := range []struct {
		syncTime time.Duration
		lines    int
	}{{slowSyncThreshold - 1, 0}, {slowSyncThreshold, 1}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			scope := tally.NewTestScope("", nil)
			d := newInstrumentedFolder(&slowFolder{syncTime: test.syncTime}, slog.New(slog.NewTextHandler(&out, nil)), scope)
			is.NoErr(d.Append("log", nil))
			is.Equal(strings.Count(out.String(), "event=diskSlow tookMillis=200"), test.lines)
			is.Equal(len(scope.Snapshot().Histograms()), 1)
		})
	}
}
