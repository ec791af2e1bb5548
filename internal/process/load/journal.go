package load

import (
	"context"
	"slices"
	"strings"

	"connectrpc.com/connect"

	"chestnutstack/internal/connection/caller"
	"chestnutstack/internal/process/metrics"
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/version/platformpb"
)

// snapshots are the entry instances' variables by base URL; one that did not answer is missing.
type snapshots map[string]*metrics.Snapshot

func fetchAll(ctx context.Context, cfg Config) snapshots {
	out := make(snapshots, len(cfg.Metrics))
	for _, url := range cfg.Metrics {
		snp, err := metrics.Fetch(ctx, cfg.MetricsClient, url, "")
		if err == nil {
			out[url] = snp
		}
	}
	return out
}

type taskKey struct {
	submission job.SubmissionID
	index      uint32
}

// journals hold how often each task of this run started, over all backend servers.
type journals struct {
	starts  map[taskKey]int
	missing []string
}

func readJournals(ctx context.Context, cfg Config) journals {
	out := journals{starts: make(map[taskKey]int)}
	for _, url := range cfg.Journals {
		cli := platformpb.NewStandInServiceClient(cfg.Client, url)
		rsp, err := cli.Journal(ctx, connect.NewRequest(&platformpb.JournalRequest{}))
		if err != nil {
			out.missing = append(out.missing, url)
			continue
		}
		for _, sta := range rsp.Msg.GetStarts() {
			// Starts of other runs against the same pool are no matter of this one.
			if ofRun(cfg, sta.GetSubmission()) {
				key := taskKey{
					submission: job.SubmissionID(sta.GetSubmission()), index: sta.GetIndex(),
				}
				out.starts[key]++
			}
		}
	}
	return out
}

func ofRun(cfg Config, sub string) bool {
	return slices.ContainsFunc(cfg.Partners, func(par Partner) bool {
		prefix := caller.Scoped(par.Profile.partner, runPrefix(cfg.Run))
		return strings.HasPrefix(sub, string(prefix))
	})
}

// unproven returns how many tasks were answered although no journal has a start of them.
func (jrn journals) unproven(answered map[job.SubmissionID]int) int {
	num := 0
	for sub, tasks := range answered {
		for idx := range tasks {
			if jrn.starts[taskKey{submission: sub, index: uint32(idx)}] == 0 {
				num++
			}
		}
	}
	return num
}

// double returns how many tasks started more than once.
func (jrn journals) double() int {
	num := 0
	for _, cnt := range jrn.starts {
		if cnt > 1 {
			num++
		}
	}
	return num
}

// falseNotRun returns how many submissions started although every reply said that they did not.
func (jrn journals) falseNotRun(notRun map[job.SubmissionID]bool) int {
	found := make(map[job.SubmissionID]bool)
	for key := range jrn.starts {
		if notRun[key.submission] {
			found[key.submission] = true
		}
	}
	return len(found)
}
