package daemon

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/platform"
)

// Guards against a changed setting that is taken for none, or is told at each read of the file.
func TestReloadedSettings(t *testing.T) {
	cases := map[string]struct {
		change  func(set *platform.Settings)
		changed bool
		restart bool
	}{
		"nothing":         {change: func(*platform.Settings) {}},
		"domains' order":  {change: func(set *platform.Settings) { set.FailureDomains = []string{"domain-2", "domain-1"} }},
		"stop timeout":    {change: func(set *platform.Settings) { set.StopTimeout = time.Second }, changed: true},
		"caller address":  {change: func(set *platform.Settings) { set.CallerAddress = "host:9" }, changed: true, restart: true},
		"ready address":   {change: func(set *platform.Settings) { set.ReadyAddress = "host:9" }, changed: true, restart: true},
		"failure domains": {change: func(set *platform.Settings) { set.FailureDomains = []string{"domain-1"} }, changed: true, restart: true},
		"bound":           {change: func(set *platform.Settings) { set.DrainBound = time.Minute }, changed: true, restart: true},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			inTestSystem(t, 2, 1, 1, func(sys *system) {
				chk := is.NewRelaxed(t)
				dmn := sys.instances["entry-1-1"].dmn
				last := dmn.prm.Settings
				set := last
				cse.change(&set)
				order := slices.Clone(set.FailureDomains)
				dmn.reload(last, set, "time")
				dmn.reload(set, set, "time")
				chk.Equal(strings.Count(sys.logText(), "settings reloaded") == 1, cse.changed)
				chk.Equal(strings.Contains(sys.logText(), `"restart-needed":true`), cse.restart)
				chk.Equal(dmn.stopTimeout(), set.StopTimeout)
				chk.Equal(set.FailureDomains, order) // A comparison leaves both as they are.
			})
		})
	}
}
