package settings

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

func TestGuess(t *testing.T) {
	entry, agent := &wire.EntrySettings{}, &wire.AgentSettings{}
	control, service := &wire.ControlSettings{}, &wire.ServiceFile{}
	tests := []struct {
		name, text string
		want       proto.Message
	}{
		{"entry", "id: a\nlisten: x\ncontrol: [y]\nlimits: {}\n", entry},
		{"entry with the minimum", "id: a\nlisten: x\ncontrol: [y]\n", entry},
		{"agent", "id: a\nlisten: x\nannounce: z\ncontrol: [y]\n", agent},
		{"control", controlFile, control},
		{"control with an unknown field", "id: a\nlisten: x\ndataFolder: z\npeer: []\n", control},
		{"service", "services: []\n", service},
		{"unknown fields", "colour: red\n", nil},
		{"no fields", "- a\n", nil},
		{"invalid YAML", "{", nil},
		{"empty", "", nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := Guess([]byte(test.text), entry, agent, control, service)
			is.New(t).True(got == test.want)
		})
	}
}
