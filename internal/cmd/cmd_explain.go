package cmd

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"skylarklane.example/skylarklane/internal/story"
)

// cmdExplain is `skylarklane explain 0123456789abcdef entry.log agent.log`.
type cmdExplain struct {
	ID    string   `arg:"" help:"Name of a job, of a task (JOB.OCCURRENCE.STEP.INDEX) or of a run (TASK/ATTEMPT)."`
	Files []string `arg:"" optional:"" help:"Logs of any number of processes, JSON or text; standard input by default." type:"existingfile"`
	outputFlag
}

// explanation is the JSON form of a story.
type explanation struct {
	ID      string            `json:"id"`
	Cause   string            `json:"cause"`
	Because string            `json:"because"`
	NotSeen []string          `json:"notSeen"`
	Lines   []explanationLine `json:"lines"`
}

// explanationLine is one log line of an explanation.
type explanationLine struct {
	// AtMillis is the time since the request's first line.
	AtMillis int64  `json:"atMillis"`
	Process  string `json:"process"`
	// Own is set if the line names the request.
	Own     bool              `json:"own"`
	Event   string            `json:"event,omitempty"`
	Message string            `json:"message"`
	Fields  map[string]string `json:"fields"`
	Source  string            `json:"source"`
}

// Run reads the logs and prints the story of one request.
func (c *cmdExplain) Run(e *env) error {
	log := story.NewLog(c.ID)
	if err := c.read(e, log); err != nil {
		return &Error{Op: "explain", Kind: KindFailed, Err: err}
	}
	s, err := story.Reconstruct(log)
	if err != nil {
		return &Error{Op: "explain", Kind: KindFailed, Err: err}
	}
	if c.Output == "json" {
		return c.print(e, c.explanation(s))
	}
	return c.printStory(e, s)
}

func (c *cmdExplain) read(e *env, log *story.Log) error {
	if len(c.Files) == 0 {
		return log.Read("standard input", e.in)
	}
	for _, name := range c.Files {
		if err := readLog(log, name); err != nil {
			return err
		}
	}
	return nil
}

func readLog(log *story.Log, name string) (err error) {
	f, err := os.Open(name)
	if err != nil {
		return eris.Wrap(err, "cannot open the log")
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return log.Read(name, f)
}

// printStory prints the story as text. Lines that don't name the request are
// marked with a bar.
func (c *cmdExplain) printStory(e *env, s *story.Story) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, from %s\n\n", c.ID, startOf(s))
	for _, l := range s.Lines {
		mark := " "
		if !s.Own(l) {
			mark = "|"
		}
		fmt.Fprintf(&b, "%+7d ms %s %s  %s\n", l.At.Sub(s.Start()).Milliseconds(), mark, l.Name(), textOf(l, c.ID))
	}
	if len(s.NotSeen) > 0 {
		b.WriteString("\nNot seen:\n")
		for _, missing := range s.NotSeen {
			fmt.Fprintf(&b, "- %s\n", missing)
		}
	}
	fmt.Fprintf(&b, "\nLikely cause (%s): %s\n", s.Cause.Name, s.Cause.Sentence)
	_, err := io.WriteString(e.out, b.String())
	return err
}

// startOf formats the time of the request's first line: a date and time, or
// seconds if the lines have a prefix with the time in seconds.
func startOf(s *story.Story) string {
	if start := s.Start(); start.Year() > 1970 {
		return start.Format("2006-01-02 15:04:05.000")
	}
	return fmt.Sprintf("%.3f s", float64(s.Start().UnixMilli())/1000)
}

// textOf formats a line's event, message and fields, without the id of the
// request.
func textOf(l *story.Line, id string) string {
	parts := []string{l.Sentence()}
	if l.Event != "" {
		parts = []string{l.Event + ":", l.Sentence()}
	}
	for _, key := range l.Keys {
		if value := l.Fields[key]; value != "" && value != id {
			parts = append(parts, key+"="+value)
		}
	}
	return strings.Join(parts, " ")
}

func (c *cmdExplain) explanation(s *story.Story) explanation {
	x := explanation{ID: c.ID, Cause: s.Cause.Name, Because: s.Cause.Sentence, NotSeen: s.NotSeen, Lines: []explanationLine{}}
	if x.NotSeen == nil {
		x.NotSeen = []string{}
	}
	for _, l := range s.Lines {
		x.Lines = append(x.Lines, explanationLine{
			AtMillis: l.At.Sub(s.Start()).Milliseconds(), Process: l.Process, Own: s.Own(l),
			Event: l.Event, Message: l.Message, Fields: l.Fields, Source: l.Source,
		})
	}
	return x
}
