package backend

import (
	"io"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/document"
)

const (
	// maxAnnouncementBytes limits the body of an announcement.
	maxAnnouncementBytes = 1 << 16
	// maxSlots limits the slots of one backend server.
	maxSlots = 1024
)

// namePattern matches valid server ids and service names.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// Announcement is the body of a backend server's announcement.
type Announcement struct {
	// Service is the service whose tasks the server runs.
	Service string `json:"service"`
	// URL is where tasks are posted: http or https, with an IP address as host.
	URL string `json:"url"`
	// Slots is how many tasks the server runs concurrently, 1 to 1024.
	Slots int `json:"slots"`
	// Leaving deregisters the server: it gets no new work.
	Leaving bool `json:"leaving"`
}

// readAnnouncement decodes and validates the announcement of the server with
// the given id. If it is invalid, field is the name of the invalid field.
func readAnnouncement(id string, r io.Reader) (a Announcement, field string, err error) {
	if !namePattern.MatchString(id) {
		return a, "id", eris.New("must have 1 to 128 letters, digits, dots, dashes or underscores")
	}
	b, err := io.ReadAll(r)
	if err == nil {
		err = document.DecodeKnown(b, &a)
	}
	if err != nil {
		return a, errorField(err), err
	}
	field, err = a.validate()
	return a, field, err
}

// validate returns the first invalid field and what is wrong with it.
func (a Announcement) validate() (string, error) {
	if !namePattern.MatchString(a.Service) {
		return "service", eris.New("must have 1 to 128 letters, digits, dots, dashes or underscores")
	}
	if err := validateURL(a.URL); err != nil {
		return "url", err
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return "slots", eris.Errorf("must be 1 to %d", maxSlots)
	}
	return "", nil
}

func validateURL(rawURL string) error {
	u, err := url.Parse(rawURL)
	if err != nil {
		return eris.Wrap(err, "cannot be decoded")
	}
	if u.Scheme != "http" && u.Scheme != "https" {
		return eris.New("must begin with http:// or https://")
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		return eris.New("must have an IP address as host")
	}
	if port, err := strconv.ParseUint(u.Port(), 10, 16); u.Port() != "" && (err != nil || port == 0) {
		return eris.New("must have a port from 1 to 65535")
	}
	if u.User != nil || u.Fragment != "" {
		return eris.New("must not have user information or a fragment")
	}
	return nil
}

// errorField returns the field that a decoding error is about, or "body".
func errorField(err error) string {
	var e *document.Error
	if eris.As(err, &e) && e.Field != "" {
		return e.Field
	}
	return "body"
}
