package process

import (
	"net"
	"net/http"
	"time"
)

const (
	dialTimeout     = time.Second
	idleConnTimeout = 90 * time.Second
	maxIdlePerHost  = 256
)

// NewClient returns the HTTP client for calls between processes. It sets no
// timeout for a whole call: the context of each call bounds it.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleConnTimeout,
	}}
}
