package fleet

import (
	"testing"

	"github.com/matryer/is"
)

func TestCountersParse(t *testing.T) {
	is := is.New(t)
	c := Counters{}
	for _, line := range []string{
		`# TYPE skylarklane_agent_requests counter`,
		`skylarklane_agent_requests{method="Agent.Start"} 3`,
		`skylarklane_entry_held 4`,
		`go_goroutines 9`,
	} {
		c.parse(line)
	}
	is.Equal(c, Counters{`agent_requests{method="Agent.Start"}`: 3, "entry_held": 4})
	is.Equal(c.Without(Counters{"entry_held": 4}), Counters{`agent_requests{method="Agent.Start"}`: 3})
}
