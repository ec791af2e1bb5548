package daemon

import (
	"cmp"
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
