// Package worth reads the report that the users' bench writes of a day, and shows
// which causes reduced the worth of the day's requests.
package worth

import (
	"encoding/json"
	"strconv"
	"strings"

	"skylarklane.example/load/internal/report"
)

// Day is the part of a report that concerns worth. Shares lie between 0 and 1.
type Day struct {
	// Name is the name of the report's file, without folder and extension.
	Name string `json:"-"`
	// Worth is the worth less the prices, before the marks of the day.
	Worth   float64 `json:"G"`
	Parts   []Part  `json:"parts"`
	Prices  []Price `json:"prices"`
	All     Group   `json:"all"`
	Kinds   []Group `json:"classes"`
	Seconds []Group `json:"windows"`
	Faults  []Fault `json:"events"`
}

// Part is one weighted component of the worth.
type Part struct {
	Name   string
	Weight float64
	Share  float64
}

// Price is what is deducted from the worth for one cause.
type Price struct {
	Cause  string
	Amount float64
	Worth  float64
}

// Group counts the outcomes of a group of requests: all, those of one kind, or
// those of the time window that starts at the second in Name.
type Group struct {
	Name    string  `json:"name"`
	Asked   int     `json:"n"`
	NotOwed int     `json:"not_owed"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Worth   float64 `json:"worth"`
}

// Fault is an event during the day, such as a burst or a freeze.
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
	d.Name = baseName(path)
	return d, nil
}

// baseName returns the name of the file without its folder and extension.
func baseName(path string) string {
	return strings.TrimSuffix(path[strings.LastIndexByte(path, '/')+1:], ".json")
}

// Owed returns the number of requests that were owed an answer.
func (g Group) Owed() int { return g.Asked - g.NotOwed }

// Lost returns the share of its worth that a group has lost.
func (g Group) Lost() float64 { return 1 - g.Worth }

// Start returns the second at which the group's time window starts, and false if
// the group is not that of a time window.
func (g Group) Start() (float64, bool) {
	start, err := strconv.ParseFloat(g.Name, 64)
	return start, err == nil
}

// Lost returns what the part deducts from the worth of the day.
func (p Part) Lost() float64 { return p.Weight * (1 - p.Share) }

// faultsDuring returns the kinds of the faults that overlap the time window.
func (d Day) faultsDuring(from, to float64) []string {
	var kinds []string
	for _, f := range d.Faults {
		if f.From < to && f.To > from {
			kinds = append(kinds, f.Kind)
		}
	}
	return kinds
}
