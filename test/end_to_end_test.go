// Package test holds end-to-end tests that run real processes.
package test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"skylarklane.example/lib/standin"
)

// finCheckService configures one idempotent kind.
const finCheckService = `services:
  - name: sizing
    kinds:
      - name: finCheck
        urgency: URGENCY_URGENT
        idempotent: true
        expectedRunMillis: 50
        deadlineMillis: 10000
        maxTasks: 460
`

// TestWholePath publishes a configuration and runs one job from submission to
// answer. Resubmitted, the job must get the same answer and start no task.
func TestWholePath(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	is.NoErr(os.WriteFile(filepath.Join(folder, "skylarklane.yaml"), []byte(finCheckService), 0o600))

	control := startDaemon(t, "control", fmt.Sprintf(
		"id: control1\nlisten: 127.0.0.1:0\ndataFolder: %s\nshards: 16\nleaseMillis: 2000\nretentionMillis: 600000\n", t.TempDir()))
	address := control.address("address")
	agent := startDaemon(t, "agent", fmt.Sprintf(
		"id: worker1\nlisten: 127.0.0.1:0\nannounce: 127.0.0.1:0\nrack: rack1\ncontrol: [\"%s\"]\n", address))
	entry := startDaemon(t, "entry", fmt.Sprintf("id: entry1\nlisten: 127.0.0.1:0\ncontrol: [\"%s\"]\n", address))
	backend := startStandin(t, standin.Options{
		ID: "backend1", Service: "sizing", Agent: agent.address("announce"), Slots: 8, Speed: 1})

	code, output := runCommand(t, "publish", "--control", address, folder)
	is.Equal(code, 0) // publish
	is.True(strings.Contains(output, "version 1 is accepted"))
	eventually(t, "the entry is ready", func() bool {
		response, err := http.Get("http://" + entry.address("address") + "/readyz")
		return err == nil && response.StatusCode == http.StatusOK
	})

	var status int
	var body string
	request := `{"kind":"finCheck","tasks":[{"payload":{"value":1}},{"payload":{"value":2}},{"payload":{"value":3}}]}`
	eventually(t, "the job is answered", func() bool {
		status, body = submit(t, entry.address("address"), "sizing", "key-1", request)
		return status == http.StatusOK
	})
	var answer struct {
		Outcome string
		Results []struct{ Index int }
	}
	is.NoErr(json.Unmarshal([]byte(body), &answer))
	is.Equal(answer.Outcome, "complete")
	is.Equal(len(answer.Results), 3)
	is.Equal(len(backend.Starts()), 3)

	again, sameBody := submit(t, entry.address("address"), "sizing", "key-1", request)
	is.Equal(again, http.StatusOK)
	is.Equal(sameBody, body)           // the same key gets the same answer
	is.Equal(len(backend.Starts()), 3) // and starts nothing

	entry.signal(syscall.SIGTERM)
	is.Equal(entry.wait(), 0) // graceful shutdown
}
