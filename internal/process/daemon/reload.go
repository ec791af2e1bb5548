package daemon

import (
	"context"
	"time"

	"chestnutstack/internal/process/hangup"
	"chestnutstack/platform"
)

// reloadInterval is how often the settings file is looked at: it may change without a signal.
const reloadInterval = 5 * time.Second

// watchSettings reads the settings file again on SIGHUP and by the clock, until ctx ends.
//
// Addresses and limits belong to the sockets and the runtime of a process from its start on; what may
// change while it runs is the time to the kill. Everything else that changed is logged and takes effect
// with the next start.
func (dmn *Daemon) watchSettings(ctx context.Context, path string) error {
	tck := time.NewTicker(reloadInterval)
	defer tck.Stop()
	for {
		cause := "time"
		select {
		case <-ctx.Done():
			return nil
		case <-hangup.Signals:
			cause = "signal"
		case <-tck.C:
		}
		set, err := platform.ReadSettings(path)
		if err != nil {
			dmn.log.Error().Err(err).Str("cause", cause).Msg("settings are unreadable; the old ones stay")
			continue
		}
		dmn.reload(set, cause)
	}
}

func (dmn *Daemon) reload(set platform.Settings, cause string) {
	dmn.mu.Lock()
	defer dmn.mu.Unlock()
	old := dmn.prm.Settings
	same := old.Equal(set)
	if same && cause == "time" {
		return
	}
	dmn.prm.Settings.StopTimeout = set.StopTimeout
	dmn.log.Info().Str("cause", cause).Bool("changed", !same).
		Bool("restart-needed", old.CallerAddress != set.CallerAddress || old.StoreAddress != set.StoreAddress).
		Msg("settings reloaded")
}
