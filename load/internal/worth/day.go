// Package worth reads what the users' bench reports of a day, and tells where
// the worth of its requests went.
package worth

import (
	"encoding/json"
	"strconv"
	"strings"

	"skylarklane.example/load/internal/report"
)

// Day is the part of a report that tells of worth. Shares lie between 0 and 1.
type Day struct {
	// Name is that of the report's file.
	Name string `json:"-"`
	// Worth is before the marks of the day, less prices.
	Worth   float64 `json:"G"`
	Parts   []Part  `json:"parts"`
	Prices  []Price `json:"prices"`
	All     Group   `json:"all"`
	Kinds   []Group `json:"classes"`
	Seconds []Group `json:"windows"`
	Faults  []Fault `json:"events"`
}

// Part is a share that the worth is made of.
type Part struct {
	Name   string
	Weight float64
	Share  float64
}

// Price is what is taken off the worth for one cause.
type Price struct {
	Cause  string
	Amount float64
	Worth  float64
}

// Group is what became of a group of requests: all, a kind, or those from a
// second on.
type Group struct {
	Name    string  `json:"name"`
	Asked   int     `json:"n"`
	NotOwed int     `json:"not_owed"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Worth   float64 `json:"worth"`
}

// Fault is what happened during the day.
type Fault struct {
	From float64 `json:"at_s"`
	To   float64 `json:"to_s"`
	Kind string  `json:"kind"`
}

// UnmarshalJSON reads the row [name, weight, share].
func (p *Part) UnmarshalJSON(text []byte) error {
	return json.Unmarshal(text, &[]any{&p.Name, &p.Weight, &p.Share})
}

// UnmarshalJSON reads the row [cause, amount, worth].
func (p *Price) UnmarshalJSON(text []byte) error {
	return json.Unmarshal(text, &[]any{&p.Cause, &p.Amount, &p.Worth})
}

// Load reads the report of a day.
func Load(path string) (Day, error) {
	var d Day
	if err := report.Load(path, &d); err != nil {
		return Day{}, err
	}
	d.Name = nameOf(path)
	return d, nil
}

// nameOf is the file's name without its folder and ending.
func nameOf(path string) string {
	return strings.TrimSuffix(path[strings.LastIndexByte(path, '/')+1:], ".json")
}

// Owed is the number of requests that are owed.
func (g Group) Owed() int { return g.Asked - g.NotOwed }

// Lost is the share of its worth that a group has lost.
func (g Group) Lost() float64 { return 1 - g.Worth }

// Start is the second from which the group's requests came, and false where it
// is no group of a time.
func (g Group) Start() (float64, bool) {
	start, err := strconv.ParseFloat(g.Name, 64)
	return start, err == nil
}

// Lost is what a part takes off the worth of the day.
func (p Part) Lost() float64 { return p.Weight * (1 - p.Share) }

// during returns the faults that lay within the time.
func (d Day) during(from, to float64) []string {
	var kinds []string
	for _, f := range d.Faults {
		if f.From < to && f.To > from {
			kinds = append(kinds, f.Kind)
		}
	}
	return kinds
}
