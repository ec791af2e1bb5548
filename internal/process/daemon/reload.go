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
	last := dmn.prm.Settings
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
		dmn.reload(last, set, cause)
		last = set
	}
}

// reload applies reread settings and logs them, unless they are as they were when they were last read and no signal asked for it.
func (dmn *Daemon) reload(last, set platform.Settings, cause string) {
	dmn.mu.Lock()
	defer dmn.mu.Unlock()
	same := last.Equal(set)
	if same && cause == "time" {
		return
	}
	dmn.prm.Settings.StopTimeout = set.StopTimeout
	dmn.log.Info().Str("cause", cause).Bool("changed", !same).Bool("restart-needed", !dmn.prm.Settings.Equal(set)).Msg("settings reloaded")
}

// stopTimeout returns how long after the begin of a planned stop the process is killed, as the settings say now.
func (dmn *Daemon) stopTimeout() time.Duration {
	dmn.mu.Lock()
	defer dmn.mu.Unlock()
	return dmn.prm.Settings.StopTimeout
}
