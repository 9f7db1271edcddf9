// Package cmd implements the commands of the skylarklane program, one file each.
package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/alecthomas/kong"

	"skylarklane.example/lib/process"
	"skylarklane.example/lib/wire"
)

// commands are the commands and global flags of the program.
type commands struct {
	Try      cmdTry      `cmd:"" help:"Run all roles in one process and submit a job of 20 tasks."`
	Check    cmdCheck    `cmd:"" help:"Check settings and service files."`
	Publish  cmdPublish  `cmd:"" help:"Publish the service files below a folder as the new configuration."`
	Config   cmdConfig   `cmd:"" help:"Show accepted configuration changes."`
	Hosts    cmdHosts    `cmd:"" help:"Add a host to the control group, or remove one."`
	Evacuate cmdEvacuate `cmd:"" help:"Begin or finish the evacuation of a data centre."`
	Status   cmdStatus   `cmd:"" help:"Show the state of the system."`
	Workers  cmdWorkers  `cmd:"" help:"Show the workers and their backend servers."`
	Submit   cmdSubmit   `cmd:"" help:"Submit a job and print its result."`
	Drain    cmdDrain    `cmd:"" help:"Shut down an entry or agent gracefully."`
	Explain  cmdExplain  `cmd:"" help:"Show what happened to one request, from the logs, and the likely cause of its end."`
	Version  cmdVersion  `cmd:"" help:"Print the version."`

	Completion cmdCompletion `cmd:"" help:"Print a completion script for a shell."`

	Security securityFlags `embed:"" group:"Security"`
}

// securityFlags are the files with an operator's TLS certificate and token.
type securityFlags struct {
	Certificate string `help:"Certificate of the caller (PEM)." placeholder:"FILE" type:"existingfile" env:"SKYLARKLANE_CERTIFICATE"`
	Key         string `help:"Key of the certificate (PEM)." name:"key-file" placeholder:"FILE" type:"existingfile" env:"SKYLARKLANE_KEY"`
	Authority   string `help:"Certificate of the authority (PEM)." placeholder:"FILE" type:"existingfile" env:"SKYLARKLANE_AUTHORITY"`
	TokenFile   string `help:"File with the operator token." placeholder:"FILE" type:"existingfile" env:"SKYLARKLANE_TOKEN_FILE"`
}

// env is the environment that is passed to every command.
type env struct {
	ctx     context.Context
	in      io.Reader
	out     io.Writer
	err     io.Writer
	client  *http.Client
	version string
}

// Main runs the command line and returns the exit code.
func Main(args []string, version string, out, errOut io.Writer) int {
	var c commands
	parser, err := kong.New(&c,
		kong.Name("skylarklane"),
		kong.Description("Dispatches short tasks to backend servers and reports the outcome of each task."),
		kong.Writers(out, errOut),
	)
	if err != nil {
		return exitCode(errOut, err)
	}
	call, err := parser.Parse(args)
	if err != nil {
		return exitCode(errOut, &Error{Op: "read the command line", Kind: KindUsage, Err: err})
	}
	client, err := c.Security.client()
	if err != nil {
		return exitCode(errOut, &Error{Op: "read the command line", Kind: KindUsage, Err: err})
	}
	ctx, cancel := process.SignalContext()
	defer cancel()
	e := &env{ctx: ctx, in: os.Stdin, out: out, err: errOut, client: client, version: strings.TrimSpace(version)}
	return exitCode(errOut, call.Run(e, parser))
}

// exitCode prints err, if not nil, and returns the matching exit code.
func exitCode(w io.Writer, err error) int {
	if err == nil {
		return process.ExitOK
	}
	fmt.Fprintf(w, "skylarklane: %v\n", err)
	var e *Error
	if errors.As(err, &e) {
		return e.Kind.exitCode()
	}
	return process.ExitFailed
}

// client returns an HTTP client that authenticates with the certificate and the
// operator token.
func (f *securityFlags) client() (*http.Client, error) {
	security, err := process.LoadCallerSecurity(&wire.Security{
		CertificateFile: f.Certificate, KeyFile: f.Key, AuthorityFile: f.Authority,
	})
	if err != nil {
		return nil, err
	}
	client := security.Client()
	if f.TokenFile == "" {
		return client, nil
	}
	token, err := os.ReadFile(f.TokenFile)
	if err != nil {
		return nil, err
	}
	client.Transport = tokenTransport{next: client.Transport, token: strings.TrimSpace(string(token))}
	return client, nil
}

// tokenTransport adds the operator token to each request.
type tokenTransport struct {
	next  http.RoundTripper
	token string
}

// RoundTrip implements http.RoundTripper.
func (t tokenTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+t.token)
	return t.next.RoundTrip(r)
}
