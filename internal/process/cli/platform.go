package cli

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstack/internal/connection/http1"
	"chestnutstack/platform"
)

type platformCommand struct {
	Check platformCheck `cmd:"" help:"Say what a settings file of the users' platform means, and what is wrong in it."`
}

type platformCheck struct {
	File string `arg:"" help:"The settings file that the platform puts on a machine." type:"existingfile"`
	JSON bool   `name:"json" help:"Print JSON."`
}

// Help is shown below the usage.
func (*platformCheck) Help() string {
	return "Ends with status 2 if the file is not complete.\n\nExample:\n  chestnutstack platform check local.conf"
}

// settingLine is a setting in the project's words.
type settingLine struct {
	Name  string `json:"name"`
	Value string `json:"value"`
	Use   string `json:"use"`
}

// Run implements the command.
func (cmd *platformCheck) Run(str *streams) error {
	set, err := platform.ReadSettings(cmd.File)
	if err != nil {
		return &usageError{cause: err}
	}
	lns := settingLines(set)
	if cmd.JSON {
		return errors.Wrap(json.NewEncoder(str.out).Encode(lns), "encoding JSON")
	}
	wrt := tabwriter.NewWriter(str.out, 0, 0, 2, ' ', 0)
	for _, lin := range lns {
		fmt.Fprintf(wrt, "%s\t%s\t%s\n", lin.Name, lin.Value, lin.Use)
	}
	return errors.Wrap(wrt.Flush(), "writing")
}

// told returns a number, or that the file doesn't have it.
func told(num int) string {
	if num == 0 {
		return "not told"
	}
	return strconv.Itoa(num)
}

func settingLines(set platform.Settings) []settingLine {
	lim := http1.NewLimits(set.MemoryBytes, set.Sockets)
	return []settingLine{
		{"instance", set.Instance, "name of this machine"},
		{"failure-domain", set.FailureDomain, "of " + strings.Join(set.FailureDomains, ", ")},
		{"caller-address", set.CallerAddress, "takes the jobs of clients"},
		{"ready-address", set.ReadyAddress, "answers the platform's readiness checks"},
		{"peer-address", set.PeerAddress, "takes the messages of other instances"},
		{"metrics-address", set.MetricsAddress, "serves counters and histograms"},
		{"store-address", set.StoreAddress, "the platform's metadata store"},
		{"processor", fmt.Sprintf("%.3g", set.Processor), "cores; instances with more lead more shards"},
		{"link", fmt.Sprintf("%d bytes a second", set.LinkBytes), "what starts and orders on their way are bounded by; 0 for no bound"},
		{"memory", fmt.Sprintf("%d MB", set.MemoryBytes>>20), "limit of the process"},
		{"sockets", told(set.Sockets), "limit of the process, without its files"},
		{"caller-connections", strconv.Itoa(lim.Connections), "open at most, by memory and sockets"},
		{"caller-requests", fmt.Sprintf("%d MB", lim.Bytes>>20), "of memory held at most"},
		{"longest-lease", set.LongestLease.String(), "that a backend server grants"},
		{"configuration-bound", set.ConfigurationBound.String(), "until a configuration is in force everywhere; 0s for 2s"},
		{"drain-bound", set.DrainBound.String(), "until a leaving backend server gets no new task; 0s for 2s"},
		{"resend-after", set.ResendAfter.String(), "when a client that lost its connection sends its job again"},
		{"store-reads", fmt.Sprintf("%d bytes a second", set.StoreReadBytes), "that the store reads for all instances; 0 for no bound"},
		{"server-speeds", onOff(set.Features.ServerSpeeds), "lasting speeds of servers are told from faults, and tasks placed by them"},
		{"headroom", onOff(set.Features.Headroom), "servers are set aside and reserved for urgent tasks while work waits for room; off by default"},
		{"preemption", onOff(set.Features.Preemption), "runs are stopped for urgent tasks that can still be in time; off by default"},
		{"reservations", onOff(set.Features.Reservations), "owners count on a share of the free room that leaders tell; off by default"},
		{"stop-timeout", set.StopTimeout.Round(time.Millisecond).String(), "from the request to stop to the kill"},
	}
}

func onOff(enabled bool) string {
	if enabled {
		return "on"
	}
	return "off"
}
