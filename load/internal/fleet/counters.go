package fleet

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	scrapeTimeout = 5 * time.Second
	metricPrefix  = "skylarklane_"
)

// Counters holds the counters of one or more processes by name, such as
// agent_requests{method="Agent.Start"}.
type Counters map[string]float64

// Counters reads the metrics page of the process.
func (p *Process) Counters(ctx context.Context) (Counters, error) {
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Address()+"/metrics", nil)
	if err != nil {
		return nil, &Error{Op: "read counters of " + p.Name, Kind: KindSample, Err: err}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, &Error{Op: "read counters of " + p.Name, Kind: KindSample, Err: err}
	}
	defer response.Body.Close()
	counters := Counters{}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		counters.parse(lines.Text())
	}
	return counters, lines.Err()
}

// Add adds the values of other.
func (c Counters) Add(other Counters) {
	for name, value := range other {
		c[name] += value
	}
}

// Without returns the increase of each counter since earlier. Counters that did
// not change are left out.
func (c Counters) Without(earlier Counters) Counters {
	changed := Counters{}
	for name, value := range c {
		if value != earlier[name] {
			changed[name] = value - earlier[name]
		}
	}
	return changed
}

func (c Counters) parse(line string) {
	name, value, found := strings.Cut(line, "} ")
	if found {
		name += "}"
	} else {
		name, value, found = strings.Cut(line, " ")
	}
	if !found || !strings.HasPrefix(name, metricPrefix) || strings.Contains(name, "_bucket{") {
		return
	}
	if number, err := strconv.ParseFloat(value, 64); err == nil {
		c[strings.TrimPrefix(name, metricPrefix)] += number
	}
}
