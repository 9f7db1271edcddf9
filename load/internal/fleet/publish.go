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
	retryInterval  = 50 * time.Millisecond
	settleTime     = 2 * time.Second
)

// publish publishes the services and teams of the options.
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
			return 0, &Error{Op: "publish", Kind: KindTimeout, Err: eris.Errorf("no control host accepted the change in time: %v %v", reply, err)}
		case <-time.After(retryInterval):
		}
	}
}

// WaitReady waits until each entry has completed a job.
func (f *Fleet) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for n, entry := range f.EntryAddresses() {
		reply := ""
		for attempt := 0; reply != "ok"; attempt++ {
			reply = f.probe(ctx, entry, fmt.Sprintf("ready-%d-%d", n, attempt))
			if ctx.Err() != nil {
				return &Error{Op: "wait", Kind: KindTimeout, Err: eris.Errorf("%s did not complete a job in time: %s", entry, reply)}
			}
			if reply != "ok" {
				time.Sleep(retryInterval)
			}
		}
	}
	return nil
}

// WaitDirectoryStable waits until the directory has not changed for settleTime,
// so that the start of the system does not distort the next measurement. After
// readyTimeout it returns in any case.
func (f *Fleet) WaitDirectoryStable(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	version, changedAt := f.DirectoryVersion(ctx), time.Now()
	for ctx.Err() == nil && time.Since(changedAt) < settleTime {
		time.Sleep(retryInterval)
		if now := f.DirectoryVersion(ctx); now != version {
			version, changedAt = now, time.Now()
		}
	}
}

// DirectoryVersion returns the newest directory version that a control host
// reports.
func (f *Fleet) DirectoryVersion(ctx context.Context) uint64 {
	newest := uint64(0)
	for _, address := range f.ControlAddresses() {
		if status, err := f.Status(ctx, address); err == nil {
			newest = max(newest, status.GetDirectory().GetVersion())
		}
	}
	return newest
}

// Status returns the status of the control host at address.
func (f *Fleet) Status(ctx context.Context, address string) (*wire.StatusReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return wire.NewControlProtobufClient("http://"+address, f.client).Status(ctx, &wire.StatusRequest{})
}

// probe sends a job of one short task. It returns "ok", or the response body or
// error if the job did not complete.
func (f *Fleet) probe(ctx context.Context, entry, key string) string {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	service := f.options.Services[0]
	body := fmt.Sprintf(`{"kind":%q,"deadlineMillis":5000,"tasks":[{"payload":{"runMillis":1}}]}`, service.GetKinds()[0].GetName())
	url := "http://" + entry + "/v1/services/" + service.GetName() + "/jobs"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
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
