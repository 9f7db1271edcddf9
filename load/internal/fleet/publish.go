package fleet

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/wire"
)

const (
	publishTimeout = 30 * time.Second
	callTimeout    = 2 * time.Second
	pause          = 50 * time.Millisecond
	calm           = 2 * time.Second
)

// publish puts the services into force.
func (f *Fleet) publish(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	_, err := f.Publish(ctx, rand.Text(), 0, f.options.Services)
	return err
}

// Publish sends one change until a control host has accepted it, and returns
// the version.
func (f *Fleet) Publish(ctx context.Context, changeID string, base uint64, services []*wire.Service) (uint64, error) {
	request := &wire.PublishRequest{
		ChangeId: changeID, BaseVersion: base, Author: "load", Services: services, Teams: f.options.Teams,
	}
	for n := 0; ; n++ {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		control := wire.NewControlProtobufClient("http://"+f.Controls[n%len(f.Controls)].Address(), f.client)
		reply, err := control.Publish(call, request)
		cancel()
		if err == nil && reply.GetAccepted() {
			return reply.GetVersion(), nil
		}
		select {
		case <-ctx.Done():
			return 0, &Error{Op: "publish", Kind: KindTimeout, Err: eris.Errorf("not accepted in time: %v %v", reply, err)}
		case <-time.After(pause):
		}
	}
}

// WaitReady waits until each entry has completed a job.
func (f *Fleet) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for n, entry := range f.EntryAddresses() {
		last := ""
		for try := 0; last != "ok"; try++ {
			last = f.probe(ctx, entry, fmt.Sprintf("ready-%d-%d", n, try))
			if ctx.Err() != nil {
				return &Error{Op: "wait", Kind: KindTimeout, Err: eris.Errorf("%s completes no job: %s", entry, last)}
			}
			if last != "ok" {
				time.Sleep(pause)
			}
		}
	}
	return nil
}

// WaitCalm waits until the directory has not changed for a while, so that
// what is measured next is not the start of the system. It gives up quietly.
func (f *Fleet) WaitCalm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	version, since := f.DirectoryVersion(ctx), time.Now()
	for ctx.Err() == nil && time.Since(since) < calm {
		time.Sleep(pause)
		if now := f.DirectoryVersion(ctx); now != version {
			version, since = now, time.Now()
		}
	}
}

// DirectoryVersion is the newest that a control host tells.
func (f *Fleet) DirectoryVersion(ctx context.Context) uint64 {
	newest := uint64(0)
	for _, address := range f.ControlAddresses() {
		if status, err := f.Status(ctx, address); err == nil {
			newest = max(newest, status.GetDirectory().GetVersion())
		}
	}
	return newest
}

// Status asks the control host at address.
func (f *Fleet) Status(ctx context.Context, address string) (*wire.StatusReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return wire.NewControlProtobufClient("http://"+address, f.client).Status(ctx, &wire.StatusRequest{})
}

// probe sends a job of one short task and returns ok or what came back.
func (f *Fleet) probe(ctx context.Context, entry, key string) string {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	service := f.options.Services[0]
	body := fmt.Sprintf(`{"kind":%q,"deadlineMillis":5000,"tasks":[{"payload":{"runMillis":1}}]}`, service.GetKinds()[0].GetName())
	url := "http://" + entry + "/v1/services/" + service.GetName() + "/jobs"
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	r.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	if response.StatusCode == http.StatusOK && json.Valid(text) {
		return "ok"
	}
	return string(text)
}
