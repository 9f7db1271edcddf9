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

// TestGuardedPath guards against connections without protection when security is
// configured. A job must complete over TLS; requests without an operator token,
// without a client certificate where one is required, or without TLS are refused.
func TestGuardedPath(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	securitySettings := writeSecurityFiles(t, folder)
	is.NoErr(os.WriteFile(filepath.Join(folder, "skylarklane.yaml"), []byte(finCheckService), 0o600))

	control := startDaemon(t, "control", fmt.Sprintf(
		"id: control1\nlisten: 127.0.0.1:0\ndataFolder: %s\nshards: 16\nleaseMillis: 2000\nretentionMillis: 600000\n%s", t.TempDir(), securitySettings))
	address := control.address("address")
	agent := startDaemon(t, "agent", fmt.Sprintf(
		"id: worker1\nlisten: 127.0.0.1:0\nannounce: 127.0.0.1:0\nrack: rack1\ncontrol: [\"%s\"]\n%s", address, securitySettings))
	entry := startDaemon(t, "entry", fmt.Sprintf("id: entry1\nlisten: 127.0.0.1:0\ncontrol: [\"%s\"]\n%s", address, securitySettings))
	startStandin(t, standin.Options{
		ID: "backend1", Service: "sizing", Agent: agent.address("announce"), Slots: 8, Speed: 1})

	authority := "--authority=" + filepath.Join(folder, "authority.crt")
	code, output := runCommand(t, "publish", "--timeout=2s", "--control", address, authority, folder)
	is.Equal(code, 1) // refused without an operator token
	is.True(strings.Contains(output, "no response from control host"))
	code, output = runCommand(t, "publish", "--control", address, authority, "--token-file", filepath.Join(folder, "token"), folder)
	is.Equal(code, 0)
	is.True(strings.Contains(output, "version 1 is accepted"))

	caller := newTLSClient(t, folder)
	var status int
	eventually(t, "the job is answered", func() bool {
		status = postJob(t, caller, "https://"+entry.address("address")+"/v1/services/sizing/jobs")
		return status == http.StatusOK
	})
	is.Equal(postJob(t, caller, "https://"+agent.address("address")+"/twirp/skylarklane.v1.Agent/Start"), http.StatusUnauthorized)
	plain, _ := submit(t, entry.address("address"), "sizing", "plain-1", `{"kind":"finCheck","tasks":[{"payload":1}]}`)
	is.Equal(plain, http.StatusBadRequest) // plain HTTP on a TLS port
}

// newTLSClient returns an HTTP client that trusts the certificate authority and
// has no client certificate.
func newTLSClient(t *testing.T, folder string) *http.Client {
	b, err := os.ReadFile(filepath.Join(folder, "authority.crt"))
	is.New(t).NoErr(err)
	pool := x509.NewCertPool()
	is.New(t).True(pool.AppendCertsFromPEM(b))
	return &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool}}}
}

// postJob submits a job of one task and returns the HTTP status.
func postJob(t *testing.T, caller *http.Client, url string) int {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(`{"kind":"finCheck","tasks":[{"payload":1}]}`))
	is.New(t).NoErr(err)
	r.Header.Set("Idempotency-Key", "guarded-1")
	response, err := caller.Do(r)
	is.New(t).NoErr(err)
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// writeSecurityFiles writes the certificate of an authority, a member certificate
// for 127.0.0.1 with its key, and an operator token. It returns the security
// section of the settings, which names these files.
func writeSecurityFiles(t *testing.T, folder string) string {
	is := is.New(t)
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	authority := certificateTemplate("authority", true)
	writeCertificate(t, filepath.Join(folder, "authority.crt"), authority, authority, &authorityKey.PublicKey, authorityKey)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	writeCertificate(t, filepath.Join(folder, "member.crt"), certificateTemplate("member", false), authority, &key.PublicKey, authorityKey)
	der, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	writePEM(t, filepath.Join(folder, "member.key"), "EC PRIVATE KEY", der)
	is.NoErr(os.WriteFile(filepath.Join(folder, "token"), []byte("secret\n"), 0o600))
	return fmt.Sprintf("security:\n  certificateFile: %[1]s/member.crt\n  keyFile: %[1]s/member.key\n  authorityFile: %[1]s/authority.crt\n  operatorTokenFile: %[1]s/token\n", folder)
}

// certificateTemplate returns the template of a certificate for 127.0.0.1 that is
// valid for an hour.
func certificateTemplate(name string, authority bool) *x509.Certificate {
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

// writeCertificate writes a certificate signed by the parent's key.
func writeCertificate(t *testing.T, file string, template, parent *x509.Certificate, publicKey *ecdsa.PublicKey, signer *ecdsa.PrivateKey) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, publicKey, signer)
	is.New(t).NoErr(err)
	writePEM(t, file, "CERTIFICATE", der)
}

func writePEM(t *testing.T, file, blockType string, b []byte) {
	is.New(t).NoErr(os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: b}), 0o600))
}
