// Package service reads and validates service files. They declare services and
// teams, and are kept in the repository beside the services' code.
package service

import (
	"errors"
	"fmt"
	"io/fs"
	"path"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/settings"
	"skylarklane.example/lib/wire"
)

// FileName is the name of a service file.
const FileName = "skylarklane.yaml"

// Kind classifies the errors of this package.
type Kind int

// The kinds of error.
const (
	// KindUnreadable marks a file or folder that cannot be read.
	KindUnreadable Kind = iota + 1
	// KindNotFound marks a folder without service files.
	KindNotFound
	// KindInvalid marks a value that is not allowed.
	KindInvalid
)

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Collect merges all service files below the root of files into one. Errors
// name the file and the line.
func Collect(files fs.FS) (*wire.ServiceFile, error) {
	c := &collector{files: files, merged: &wire.ServiceFile{}, definedAt: map[string]string{}}
	if err := fs.WalkDir(files, ".", c.visit); err != nil {
		return nil, &Error{Op: "collect", Kind: kindOf(err), Err: err}
	}
	if c.fileCount == 0 {
		return nil, &Error{Op: "collect", Kind: KindNotFound, Err: eris.Errorf("no file named %s found; put one beside each service's code", FileName)}
	}
	return c.merged, nil
}

// Read reads one service file; name identifies it in errors.
func Read(name string, b []byte) (*wire.ServiceFile, *settings.Lines, error) {
	file := &wire.ServiceFile{}
	lines, err := settings.Read(name, b, file)
	if err != nil {
		return nil, nil, err
	}
	c := &checker{locate: lines.At}
	if !lines.Has("services") && !lines.Has("teams") {
		c.fail("", "the file has neither services nor teams; write services: [] if there are none")
	}
	c.file(file.GetServices(), file.GetTeams())
	return file, lines, c.err
}

// collector merges service files.
type collector struct {
	files     fs.FS
	merged    *wire.ServiceFile
	fileCount int
	// definedAt maps a service or team to the file and line that define it.
	definedAt map[string]string
}

// visit merges a service file; it implements fs.WalkDirFunc.
func (c *collector) visit(name string, d fs.DirEntry, err error) error {
	if err != nil || d.IsDir() || path.Base(name) != FileName {
		return err
	}
	c.fileCount++
	b, err := fs.ReadFile(c.files, name)
	if err != nil {
		return err
	}
	file, lines, err := Read(name, b)
	if err != nil {
		return err
	}
	for i, service := range file.GetServices() {
		if err := c.define("service", service.GetName(), lines.At(fmt.Sprintf("services[%d].name", i))); err != nil {
			return err
		}
	}
	for i, team := range file.GetTeams() {
		if err := c.define("team", team.GetName(), lines.At(fmt.Sprintf("teams[%d].name", i))); err != nil {
			return err
		}
	}
	c.merged.Services = append(c.merged.Services, file.GetServices()...)
	c.merged.Teams = append(c.merged.Teams, file.GetTeams()...)
	return nil
}

// define records where a service or team is defined, and fails if another file
// defines it too.
func (c *collector) define(kind, name, location string) error {
	if other, found := c.definedAt[kind+" "+name]; found {
		return &Error{Op: "check", Kind: KindInvalid, Err: eris.Errorf("%s: %s %q is also in %s; rename or drop one of them", location, kind, name, other)}
	}
	c.definedAt[kind+" "+name] = location
	return nil
}

// kindOf returns KindInvalid for an error about the content of a file, and
// KindUnreadable for any other.
func kindOf(err error) Kind {
	var settingsErr *settings.Error
	var serviceErr *Error
	if errors.As(err, &settingsErr) || errors.As(err, &serviceErr) {
		return KindInvalid
	}
	return KindUnreadable
}
