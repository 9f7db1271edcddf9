package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"skylarklane.example/platform/standin"
)

// badConfigGap is the pause between two invalid configurations (gap_s).
const badConfigGap = time.Second

// unreadable is a configuration of which a part is missing or can't be read.
type unreadable struct {
	what string
	body func(version int) string
}

var unreadables = []unreadable{
	{"limits is a text", func(version int) string { return configWith(version, "limits", "16384") }},
	{"services is cut off, so are routes and limits", func(version int) string { return fmt.Sprintf(`{"version":%d}`, version) }},
}

// configWith returns the configuration of the case with another value for one of
// its fields.
func configWith(version int, field string, value any) string {
	b, err := json.Marshal(standin.NewConfig(version, host, service, prefix))
	if err != nil {
		panic(err)
	}
	fields := map[string]any{}
	if err := json.Unmarshal(b, &fields); err != nil {
		panic(err)
	}
	fields[field] = value
	if b, err = json.Marshal(fields); err != nil {
		panic(err)
	}
	return string(b)
}

// playConfig sends configurations that can't be read in full. Each must be
// refused, and must not be in force later.
func playConfig(ctx context.Context, c *cluster, trouble bool) (verdict, error) {
	var v verdict
	if trouble {
		for i, bad := range unreadables {
			version := 7 + 4*i
			status, answer := c.operator.ReplaceOnce(ctx, []byte(bad.body(version)), i)
			c.checker.Note(fmt.Sprintf("operator sends version %d, of which %s: status %d %s", version, bad.what, status, answer))
			if status == http.StatusOK {
				v.addf("CONFIG: version %d, of which %s, is acknowledged", version, bad.what)
			}
			time.Sleep(badConfigGap)
		}
	}
	time.Sleep(configApply + time.Second)
	status, body := c.operator.Read(ctx, 0)
	c.checker.Note(fmt.Sprintf("operator reads the configuration: status %d %.200s", status, body))
	submitCtx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	result := c.caller.SubmitOnce(submitCtx, standin.NewJob(0xc0, 2, 50*time.Millisecond), 0)
	c.checker.Note(fmt.Sprintf("a job of the route in force is answered with status %d %s", result.Status, result.State))
	switch {
	case result.Status == http.StatusOK && result.State == "completed":
	case trouble:
		v.addf("CONFIG: a job of the valid configuration's route is answered with status %d: what is invalid is in force", result.Status)
	default:
		return v, fmt.Errorf("a job is answered with status %d without the disruption", result.Status)
	}
	return v, nil
}
