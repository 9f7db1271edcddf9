package process

import (
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/wire"
)

// internalPrefix is the path prefix of calls between processes.
const internalPrefix = "/twirp/"

// adminPrefix is the path prefix of operators' calls.
const adminPrefix = "/v1/admin/"

// operatorCalls are paths below internalPrefix that operators call. They need
// the operator token instead of a client certificate.
var operatorCalls = []string{
	internalPrefix + "skylarklane.v1.Control/Publish",
	internalPrefix + "skylarklane.v1.Control/History",
	internalPrefix + "skylarklane.v1.Control/Status",
	internalPrefix + "skylarklane.v1.Control/ChangeHost",
	internalPrefix + "skylarklane.v1.Control/Evacuate",
}

// Security holds the TLS certificate and the operator token of one process. Its
// zero value uses plain HTTP and allows all calls.
type Security struct {
	certificate   *tls.Certificate
	authority     *x509.CertPool
	operatorToken string
}

// LoadSecurity reads the files named in cfg. Without a certificate the process
// uses plain HTTP; without an operator token, operators' calls are allowed for
// everyone who can reach the address.
func LoadSecurity(cfg *wire.Security) (*Security, error) {
	s := &Security{}
	if err := s.loadCertificate(cfg); err != nil {
		return nil, err
	}
	if cfg.GetOperatorTokenFile() == "" {
		return s, nil
	}
	b, err := os.ReadFile(cfg.GetOperatorTokenFile())
	if err != nil {
		return nil, securityError("operatorTokenFile", err)
	}
	s.operatorToken = strings.TrimSpace(string(b))
	if s.operatorToken == "" {
		return nil, securityError("operatorTokenFile", eris.New("the file is empty"))
	}
	return s, nil
}

// LoadCallerSecurity reads the files of a program that is only a client. A
// certificate authority alone is enough for it to use TLS.
func LoadCallerSecurity(cfg *wire.Security) (*Security, error) {
	s := &Security{}
	if cfg.GetCertificateFile() == "" && cfg.GetKeyFile() == "" && cfg.GetAuthorityFile() != "" {
		return s, s.loadAuthority(cfg.GetAuthorityFile())
	}
	return s, s.loadCertificate(cfg)
}

func (s *Security) loadCertificate(cfg *wire.Security) error {
	if cfg.GetCertificateFile() == "" && cfg.GetKeyFile() == "" && cfg.GetAuthorityFile() == "" {
		return nil
	}
	certificate, err := tls.LoadX509KeyPair(cfg.GetCertificateFile(), cfg.GetKeyFile())
	if err != nil {
		return securityError("certificateFile, keyFile", err)
	}
	s.certificate = &certificate
	return s.loadAuthority(cfg.GetAuthorityFile())
}

func (s *Security) loadAuthority(file string) error {
	pem, err := os.ReadFile(file)
	if err != nil {
		return securityError("authorityFile", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return securityError("authorityFile", eris.New("the file contains no PEM certificate"))
	}
	s.authority = pool
	return nil
}

// Client returns the HTTP client for calls to other processes. If an authority
// is set, it uses TLS for http addresses as well.
func (s *Security) Client() *http.Client {
	client := NewClient()
	if s.authority == nil {
		return client
	}
	transport := client.Transport.(*http.Transport)
	transport.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: s.authority}
	if s.certificate != nil {
		transport.TLSClientConfig.Certificates = []tls.Certificate{*s.certificate}
	}
	client.Transport = secureTransport{transport}
	return client
}

// Listener wraps listener in TLS if a certificate is set.
func (s *Security) Listener(listener net.Listener) net.Listener {
	if s.certificate == nil {
		return listener
	}
	return tls.NewListener(handshakeListener{listener}, &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*s.certificate},
		ClientCAs:    s.authority,
		// Callers have no certificate; Guard requires one for calls between
		// processes.
		ClientAuth: tls.VerifyClientCertIfGiven,
		NextProtos: []string{"http/1.1"},
	})
}

// Guard returns a handler that requires a client certificate of the authority
// for calls between processes, and the operator token for operators' calls.
func (s *Security) Guard(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.allowed(r) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(w, "a client certificate or the operator token is required", http.StatusUnauthorized)
			return
		}
		h.ServeHTTP(w, r)
	})
}

func (s *Security) allowed(r *http.Request) bool {
	if isOperatorCall(r.URL.Path) {
		return s.hasToken(r)
	}
	if strings.HasPrefix(r.URL.Path, internalPrefix) {
		return s.certificate == nil || (r.TLS != nil && len(r.TLS.VerifiedChains) > 0)
	}
	return true
}

func (s *Security) hasToken(r *http.Request) bool {
	if s.operatorToken == "" {
		return true
	}
	given := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	return subtle.ConstantTimeCompare([]byte(given), []byte(s.operatorToken)) == 1
}

func isOperatorCall(path string) bool {
	if strings.HasPrefix(path, adminPrefix) {
		return true
	}
	for _, call := range operatorCalls {
		if path == call {
			return true
		}
	}
	return false
}

// secureTransport sends every request over TLS.
type secureTransport struct {
	*http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t secureTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Scheme == "https" {
		return t.Transport.RoundTrip(r)
	}
	secure := r.Clone(r.Context())
	secure.URL.Scheme = "https"
	return t.Transport.RoundTrip(secure)
}

func securityError(field string, err error) error {
	return &Error{Op: "load security." + field, Kind: KindSecurity, Err: eris.Wrap(err, "invalid security settings")}
}
