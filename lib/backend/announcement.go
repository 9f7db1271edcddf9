package backend

import (
	"encoding/json"
	"io"
	"net/netip"
	"net/url"
	"regexp"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	// maxAnnouncementBytes bounds the body of an announcement.
	maxAnnouncementBytes = 1 << 16
	// maxSlots bounds the slots of one backend server.
	maxSlots = 1024
)

// names are the ids and services that may be announced.
var names = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// Announcement is what a backend server says of itself.
type Announcement struct {
	// Service is the service whose tasks the server runs.
	Service string `json:"service"`
	// URL is where tasks are posted, http or https with an IP number as host.
	URL string `json:"url"`
	// Slots is how many tasks the server runs at a time, 1 to 1024.
	Slots int `json:"slots"`
	// Leaving servers get no new work.
	Leaving bool `json:"leaving"`
}

// readAnnouncement reads and checks the announcement of the server named id.
// It returns the field at fault with the error.
func readAnnouncement(id string, r io.Reader) (a Announcement, field string, err error) {
	if !names.MatchString(id) {
		return a, "id", eris.New("must have 1 to 128 letters, digits, dots, dashes or underscores")
	}
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&a); err != nil {
		return a, fieldOf(err), eris.Wrap(err, "cannot be read")
	}
	field, err = a.check()
	return a, field, err
}

// check returns the first field that is out of its range.
func (a Announcement) check() (string, error) {
	if !names.MatchString(a.Service) {
		return "service", eris.New("must have 1 to 128 letters, digits, dots, dashes or underscores")
	}
	if err := checkURL(a.URL); err != nil {
		return "url", err
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return "slots", eris.Errorf("must be 1 to %d", maxSlots)
	}
	return "", nil
}

func checkURL(text string) error {
	u, err := url.Parse(text)
	if err != nil {
		return eris.Wrap(err, "cannot be read")
	}
	if u.Scheme != "http" && u.Scheme != "https" {
		return eris.New("must begin with http:// or https://")
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		return eris.New("must have an IP number as host")
	}
	if u.User != nil || u.Fragment != "" {
		return eris.New("must have neither user nor fragment")
	}
	return nil
}

// fieldOf returns the field that a decoding error is about, or "body".
func fieldOf(err error) string {
	var wrongType *json.UnmarshalTypeError
	if eris.As(err, &wrongType) && wrongType.Field != "" {
		return wrongType.Field
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return strings.Trim(name, `"`)
	}
	return "body"
}
