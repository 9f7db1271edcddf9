package clock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestBootAdvances(t *testing.T) {
	is := is.New(t)
	c := Boot()
	before := c.Now()
	time.Sleep(5 * time.Millisecond)
	is.True(c.Now()-before >= 5*time.Millisecond)
}
