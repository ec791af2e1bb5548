package daemon

import (
	"cmp"
	"strconv"
	"time"

	"chestnutstack/internal/version/serverlist"
	"chestnutstack/platform"
)

// storePaces are the times by which an instance follows the store's topics. They are shares of the platform's bounds: every instance makes these
// calls, so that a pace which doesn't follow the bounds makes the calls of a large system grow where nothing asks for it.
type storePaces struct {
	list serverlist.Config
	// A read of digests or of configurations waits for a record for so long. A connection that went dead is noticed only after the wait and
	// storeTimeout; other instances pass a configuration on meanwhile.
	digestWait, configurationWait time.Duration
}

// usualBound is the bound of the platform's first installations, which holds where the settings tell none.
const usualBound = 2 * time.Second

func newStorePaces(set *platform.Settings) storePaces {
	drain := cmp.Or(set.DrainBound, usualBound)
	return storePaces{
		list:       serverlist.NewConfig(set.Instance, drain),
		digestWait: drain / 2, configurationWait: cmp.Or(set.ConfigurationBound, usualBound) / 2,
	}
}

const (
	// firstRetryPause is the pause after a failed call to the store, which allows all instances together 600 writes and 2,000 reads a second. While reads
	// of the list are limited, it doubles after each further one, up to maxRetryPause.
	firstRetryPause = 200 * time.Millisecond
	maxRetryPause   = 800 * time.Millisecond
)

// retryPause returns the pause after so many failed calls about a topic, one after the other. Where instances are so many that their reads are limited, it
// differs by half either way between instances from the second call on, so that they don't all call again at the same moments. Fewer instances call again
// soon, as the store may be back at any moment.
func (dmn *Daemon) retryPause(tpc platform.Topic, failures int) time.Duration {
	dmn.mu.Lock()
	limited := dmn.limited
	dmn.mu.Unlock()
	if !limited {
		return firstRetryPause
	}
	return storeRetryPause(dmn.prm.Settings.Instance+" "+string(tpc), failures)
}

// storeRetryPause is retryPause for a caller by its name.
func storeRetryPause(caller string, failures int) time.Duration {
	if failures <= 1 {
		return firstRetryPause
	}
	pause := firstRetryPause
	for range failures - 1 {
		if pause = min(2*pause, maxRetryPause); pause == maxRetryPause {
			break
		}
	}
	return time.Duration((0.5 + hashPosition(caller+" "+strconv.Itoa(failures))) * float64(pause))
}
