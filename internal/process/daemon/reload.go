package daemon

import (
	"context"
	"time"

	"chestnutstack/internal/process/hangup"
	"chestnutstack/platform"
)

// reloadInterval is how often the settings file is read: it may change without a signal.
const reloadInterval = 5 * time.Second

// watchSettings rereads the settings file on SIGHUP and every reloadInterval until ctx ends.
//
// Only the stop timeout can change while the process runs: addresses and limits are applied to sockets and the runtime at the start.
// Other changes are logged and take effect with the next start.
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
			dmn.log.Error().Err(err).Str("cause", cause).Msg("settings are unreadable; keeping the old ones")
			continue
		}
		dmn.reload(set, cause)
	}
}

// reload applies reread settings and logs them, unless nothing changed and no signal asked for it.
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
