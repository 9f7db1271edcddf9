package test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"skylarklane.example/lib/standin"
)

// TestGuardedPath serves a request with all connections guarded, and refuses
// who shows no certificate or no token.
func TestGuardedPath(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	guard := writeGuard(t, folder)
	is.NoErr(os.WriteFile(filepath.Join(folder, "skylarklane.yaml"), []byte(finCheckService), 0o600))

	control := startDaemon(t, "control", fmt.Sprintf(
		"id: control1\nlisten: 127.0.0.1:0\ndataFolder: %s\nshards: 16\nleaseMillis: 2000\nretentionMillis: 600000\n%s", t.TempDir(), guard))
	address := control.address("address")
	agent := startDaemon(t, "agent", fmt.Sprintf(
		"id: worker1\nlisten: 127.0.0.1:0\nannounce: 127.0.0.1:0\nrack: rack1\ncontrol: [\"%s\"]\n%s", address, guard))
	entry := startDaemon(t, "entry", fmt.Sprintf("id: entry1\nlisten: 127.0.0.1:0\ncontrol: [\"%s\"]\n%s", address, guard))
	startStandin(t, standin.Options{
		ID: "backend1", Service: "sizing", Agent: agent.address("announce"), Slots: 8, Speed: 1})

	authority := "--authority=" + filepath.Join(folder, "authority.crt")
	code, output := command(t, "publish", "--timeout=2s", "--control", address, authority, folder)
	is.Equal(code, 1) // no token
	is.True(strings.Contains(output, "no answer from control host"))
	code, output = command(t, "publish", "--control", address, authority, "--token-file", filepath.Join(folder, "token"), folder)
	is.Equal(code, 0)
	is.True(strings.Contains(output, "version 1 is accepted"))

	caller := callerOf(t, folder)
	var status int
	eventually(t, "the job is answered", func() bool {
		status = post(t, caller, "https://"+entry.address("address")+"/v1/services/sizing/jobs")
		return status == http.StatusOK
	})
	is.Equal(post(t, caller, "https://"+agent.address("address")+"/twirp/skylarklane.v1.Agent/Start"), http.StatusUnauthorized)
	plain, _ := submit(t, entry.address("address"), "sizing", "plain-1", `{"kind":"finCheck","tasks":[{"payload":1}]}`)
	is.Equal(plain, http.StatusBadRequest) // plain HTTP to a port that speaks TLS
}

// callerOf returns a client that trusts the authority and has no certificate.
func callerOf(t *testing.T, folder string) *http.Client {
	b, err := os.ReadFile(filepath.Join(folder, "authority.crt"))
	is.New(t).NoErr(err)
	pool := x509.NewCertPool()
	is.New(t).True(pool.AppendCertsFromPEM(b))
	return &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool}}}
}

// post sends a job of one task and returns the status.
func post(t *testing.T, caller *http.Client, url string) int {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(`{"kind":"finCheck","tasks":[{"payload":1}]}`))
	is.New(t).NoErr(err)
	r.Header.Set("Idempotency-Key", "guarded-1")
	response, err := caller.Do(r)
	is.New(t).NoErr(err)
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// writeGuard writes an authority, a certificate for loopback and a token, and
// returns the settings that name them.
func writeGuard(t *testing.T, folder string) string {
	is := is.New(t)
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	authority := certificate("authority", true)
	writeCertificate(t, filepath.Join(folder, "authority.crt"), authority, authority, &authorityKey.PublicKey, authorityKey)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	writeCertificate(t, filepath.Join(folder, "member.crt"), certificate("member", false), authority, &key.PublicKey, authorityKey)
	der, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	writeBlock(t, filepath.Join(folder, "member.key"), "EC PRIVATE KEY", der)
	is.NoErr(os.WriteFile(filepath.Join(folder, "token"), []byte("secret\n"), 0o600))
	return fmt.Sprintf("security:\n  certificateFile: %[1]s/member.crt\n  keyFile: %[1]s/member.key\n  authorityFile: %[1]s/authority.crt\n  operatorTokenFile: %[1]s/token\n", folder)
}

func certificate(name string, authority bool) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber:          big.NewInt(time.Now().UnixNano()),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  authority,
		BasicConstraintsValid: true,
	}
}

func writeCertificate(t *testing.T, file string, template, parent *x509.Certificate, public *ecdsa.PublicKey, signer *ecdsa.PrivateKey) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, public, signer)
	is.New(t).NoErr(err)
	writeBlock(t, file, "CERTIFICATE", der)
}

func writeBlock(t *testing.T, file, kind string, b []byte) {
	is.New(t).NoErr(os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b}), 0o600))
}
