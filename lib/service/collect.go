// Package service reads the short files beside the services' code.
package service

import (
	"io/fs"
	"path"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/settings"
	"skylarklane.example/lib/wire"
)

// FileName is the name of a service file.
const FileName = "skylarklane.yaml"

// Kind sorts the errors of this package.
type Kind int

// The kinds of error.
const (
	KindFile Kind = iota + 1
	KindNone
	// KindInvalid means that a value cannot be used.
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

// Collect reads every service file below the root of files into one.
func Collect(files fs.FS) (*wire.ServiceFile, error) {
	all := &wire.ServiceFile{}
	found := 0
	err := fs.WalkDir(files, ".", func(name string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || path.Base(name) != FileName {
			return err
		}
		found++
		return add(all, files, name)
	})
	if err != nil {
		return nil, &Error{Op: "collect", Kind: KindFile, Err: err}
	}
	if found == 0 {
		return nil, &Error{Op: "collect", Kind: KindNone, Err: eris.Errorf("no file named %s here; put one beside each service's code", FileName)}
	}
	return all, nil
}

func add(all *wire.ServiceFile, files fs.FS, name string) error {
	b, err := fs.ReadFile(files, name)
	if err != nil {
		return err
	}
	one := &wire.ServiceFile{}
	if err := settings.Parse(name, b, one); err != nil {
		return err
	}
	all.Services = append(all.Services, one.GetServices()...)
	all.Teams = append(all.Teams, one.GetTeams()...)
	return nil
}
