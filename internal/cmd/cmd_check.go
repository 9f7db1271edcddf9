package cmd

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/service"
	"skylarklane.example/lib/settings"
	"skylarklane.example/lib/wire"
)

// cmdCheck is `skylarklane check entry.yaml services/skylarklane.yaml`.
type cmdCheck struct {
	Files []string `arg:"" help:"Files to check." type:"existingfile"`
	As    string   `help:"Type of the files: entry, agent, control or service. By default it is taken from the file name (it starts with entry, agent or control, or is skylarklane.yaml), else from its fields." enum:"entry,agent,control,service,name" default:"name"`
}

// Run checks each file and reports the first error in each.
func (c *cmdCheck) Run(e *env) error {
	invalid := 0
	for _, file := range c.Files {
		if err := c.check(file); err != nil {
			fmt.Fprintf(e.err, "skylarklane: %v\n", err)
			invalid++
			continue
		}
		fmt.Fprintf(e.out, "%s: ok\n", file)
	}
	if invalid > 0 {
		return &Error{Op: "check", Kind: KindRefused, Err: eris.Errorf("%d of %d files have errors", invalid, len(c.Files))}
	}
	return nil
}

func (c *cmdCheck) check(file string) error {
	m := c.message(file)
	if m == nil {
		return &Error{Op: "check", Kind: KindUsage, Err: eris.Errorf("%s: the type of the file can't be determined from its name or fields; set --as", file)}
	}
	if _, isService := m.(*wire.ServiceFile); isService {
		return checkService(file)
	}
	return settings.Load(file, m)
}

func checkService(file string) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return &Error{Op: "check", Kind: KindFailed, Err: eris.Wrap(err, "cannot read the file")}
	}
	_, _, err = service.Read(file, b)
	return err
}

// message returns an empty message of the file's type, or nil if the type is
// unknown.
func (c *cmdCheck) message(file string) proto.Message {
	base := filepath.Base(file)
	switch {
	case c.As == "service" || c.As == "name" && base == service.FileName:
		return &wire.ServiceFile{}
	case c.As == "entry" || c.As == "name" && strings.HasPrefix(base, "entry"):
		return &wire.EntrySettings{}
	case c.As == "agent" || c.As == "name" && strings.HasPrefix(base, "agent"):
		return &wire.AgentSettings{}
	case c.As == "control" || c.As == "name" && strings.HasPrefix(base, "control"):
		return &wire.ControlSettings{}
	default:
		return messageByFields(file)
	}
}

// messageByFields returns the message that has the most fields of the file, or
// nil if none has any.
func messageByFields(file string) proto.Message {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil
	}
	return settings.Guess(b, &wire.EntrySettings{}, &wire.AgentSettings{}, &wire.ControlSettings{}, &wire.ServiceFile{})
}
