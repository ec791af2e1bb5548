package entry

import (
	"net/http"
	"time"

	"chestnutstack/internal/connection/caller"
	"chestnutstack/internal/process/metrics"
	"chestnutstack/internal/request/dispatch"
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/verdict"
	"chestnutstack/internal/version/platformpb"
)

// observe counts the end of a job; it runs under mu.
func (ins *Instance) observe(now time.Time, jb *job.Job) {
	spc := jb.Spec()
	vdt := verdict.Done
	if err := jb.Err(); err != nil {
		vdt = err.Verdict()
	}
	ins.metrics.Verdict(spc.Class.Owner, vdt)
	ins.metrics.Count(metrics.Submission, 1)
	ins.metrics.Count(metrics.JobAnswer, 1)
	if jb.Cancelled() {
		// What its caller called off is no miss of ours, and would burn the error budget.
		return
	}
	took := now.Sub(spc.Admitted)
	met := vdt == verdict.Done && took <= spc.Class.Objective.Target
	ins.metrics.ObserveJob(spc.Class.Owner, spc.Class.Class, took, jb.LongestRunTime(), met)
}

// counters are the messages that dispatch counts by itself, by the kind that they are shown as.
func counters(sta *dispatch.Stats) map[metrics.Kind]uint64 {
	return map[metrics.Kind]uint64{
		metrics.Start:  sta.Results,
		metrics.Answer: sta.Results,
		// A refused start is two messages: the start and the refusal.
		metrics.Refusal:    2 * sta.Refusals,
		metrics.LostStart:  sta.Lost,
		metrics.LateAnswer: sta.LateAnswers,
		metrics.Ask:        sta.Queries,
		metrics.Status:     sta.Statuses,
		metrics.Revoke:     sta.Revokes,
		metrics.Stop:       sta.Stops,
		metrics.Renewal:    sta.Renewals,
		metrics.Session:    sta.Reconnects,
	}
}

// syncCounters adds what dispatch counted since the last call.
func (ins *Instance) syncCounters() {
	ins.mu.Lock()
	defer ins.mu.Unlock()
	sta := ins.dsp.Snapshot()
	cur := counters(&sta)
	for knd, num := range cur {
		ins.metrics.Count(knd, num-ins.counted[knd])
	}
	ins.counted = cur
}

// serveMetrics shows the variables as of now, and of the jobs those of the partner who asks.
func (ins *Instance) serveMetrics(wrt http.ResponseWriter, req *http.Request) {
	ins.syncCounters()
	show := ins.metrics.HandlerFor(func(req *http.Request) (job.Partner, bool) {
		return caller.PartnerOf(ins.auth, req)
	})
	show.ServeHTTP(wrt, req)
}

// addGauges shows what the instance has now.
func (ins *Instance) addGauges() {
	gauge := func(name string, pick func(*dispatch.Stats) int) {
		ins.metrics.Gauge(name, func() float64 {
			ins.mu.Lock()
			defer ins.mu.Unlock()
			sta := ins.dsp.Snapshot()
			return float64(pick(&sta))
		})
	}
	gauge("jobs", func(sta *dispatch.Stats) int { return sta.Jobs })
	gauge("tasks-waiting", func(sta *dispatch.Stats) int { return sta.Waiting })
	gauge("slots-in-use", func(sta *dispatch.Stats) int { return sta.InFlight })
	gauge("slots-free", func(sta *dispatch.Stats) int { return sta.Free })
	gauge("slots-lent", func(sta *dispatch.Stats) int { return sta.Lent })
	gauge("slots-borrowed", func(sta *dispatch.Stats) int { return sta.Borrowed })
	gauge("backend-servers-ejected", func(sta *dispatch.Stats) int { return sta.EjectedServers })
	ins.metrics.Gauge("catalogue-offset", func() float64 { return float64(ins.catalogue.flw.Offset()) })
	ins.metrics.Gauge("sessions", func() float64 { return float64(ins.servers.Links()) })
}

// Listed returns how the platform lists an instance with these settings, for a stand-in that has to
// be told.
func Listed(cfg Config) *platformpb.Instance {
	return &platformpb.Instance{
		Id:            cfg.ID,
		Incarnation:   cfg.Incarnation,
		Kind:          platformpb.InstanceKind_INSTANCE_KIND_ENTRY,
		Address:       cfg.Callers.Addr().String(),
		PeerAddress:   cfg.Peers.Addr().String(),
		FailureDomain: cfg.FailureDomain,
	}
}
