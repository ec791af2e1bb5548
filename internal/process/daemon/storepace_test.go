package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against retries of the store that all instances make at the same moments, or as often as ever while it is overloaded.
func TestRetriesBackOff(t *testing.T) {
	chk := is.NewRelaxed(t)
	most := []time.Duration{200, 200, 600, 1200, 1200, 1200}
	for failures, upper := range most {
		one, two := storeRetryPause("one", failures), storeRetryPause("two", failures)
		chk.True(one <= upper*time.Millisecond && one >= upper*time.Millisecond/3)
		chk.Equal(one == two, failures <= 1)
	}
}
