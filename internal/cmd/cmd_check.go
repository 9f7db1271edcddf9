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
	As    string   `help:"What the files are: entry, agent, control or service. By default the file name tells (it starts with entry, agent or control, or is skylarklane.yaml), else its fields." enum:"entry,agent,control,service,name" default:"name"`
}

// Run reads each file and reports the first mistake of each.
func (c *cmdCheck) Run(e *env) error {
	wrong := 0
	for _, file := range c.Files {
		if err := c.check(file); err != nil {
			fmt.Fprintf(e.err, "skylarklane: %v\n", err)
			wrong++
			continue
		}
		fmt.Fprintf(e.out, "%s: ok\n", file)
	}
	if wrong > 0 {
		return &Error{Op: "check", Kind: KindRefused, Err: eris.Errorf("%d of %d files have mistakes", wrong, len(c.Files))}
	}
	return nil
}

func (c *cmdCheck) check(file string) error {
	m := c.message(file)
	if m == nil {
		return &Error{Op: "check", Kind: KindUsage, Err: eris.Errorf("%s: neither its name nor its fields tell what the file is; give --as", file)}
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

// message returns an empty message of the type that the file should hold, nil
// where that is unknown.
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
		return byFields(file)
	}
}

// byFields returns the message that has most of the fields of the file, nil
// where none has any.
func byFields(file string) proto.Message {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil
	}
	return settings.Guess(b, &wire.EntrySettings{}, &wire.AgentSettings{}, &wire.ControlSettings{}, &wire.ServiceFile{})
}
