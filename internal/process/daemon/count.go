package daemon

import (
	"expvar"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"chestnutstack/internal/request/shard"
	"chestnutstack/internal/request/submission"
)

// bucketBounds are the upper bounds of a histogram's buckets; the last bucket has none.
var bucketBounds = [...]time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second,
}

// histogram counts durations by bucket.
type histogram struct {
	buckets [len(bucketBounds) + 1]atomic.Int64
	total   atomic.Int64
}

// observe counts a duration.
func (hst *histogram) observe(dur time.Duration) {
	idx := 0
	for idx < len(bucketBounds) && dur > bucketBounds[idx] {
		idx++
	}
	hst.buckets[idx].Add(1)
	hst.total.Add(int64(dur))
}

// counters are the metrics of a daemon: monotonic counters, except those that are described as gauges.
type counters struct {
	submissions, refusals, stops, renewals, storeReads, listReads, digests, badDigests, badClosings, logsDropped, lateBatches, largeMessages, pauses,
	configsSent, changesSent, roomChanges, listReadsDeferred, listsSent atomic.Int64
	// callersGone counts the requests that were not handled, and the jobs that were ended by a look, as their callers had left.
	callersGone atomic.Int64
	// cancels counts the jobs that were cancelled here.
	cancels atomic.Int64
	// closedDomains and closedRuns are gauges: the failure domains that are closed to new work, and the runs that this instance leads there.
	closedDomains, closedRuns atomic.Int64
	// overfullServers and listAge are gauges: the servers led here whose runs need more than their room, and how old the known list of
	// servers is, in nanoseconds.
	overfullServers, listAge atomic.Int64
	// listBytes is a gauge: the bytes that are written to the list of servers in a second.
	listBytes atomic.Int64
	// admittedWithCapacity, admittedToWait and notAdmitted count the decisions on submissions; waits has, for
	// each job admitted to wait, the expected wait in the last rank that was tried.
	admittedWithCapacity, admittedToWait, notAdmitted atomic.Int64
	waits                                             histogram
	// orders, recalls and reassignments count what was sent to leaders about tasks, returns the orders that came back, by reason.
	orders, recalls, reassignments atomic.Int64
	returns                        [shard.ReturnReasons]atomic.Int64
	// quarantines counts servers put off because they are slow or fail their runs, waitsForSpeed the tasks that waited for a server on which they
	// can be in time, speedsRefused the messages about speeds that were not used. The gauges are the shards led here whose servers' speeds differ,
	// the least and the largest run time there over that of an average server, in thousandths, and the routes whose estimates are corrected.
	quarantines, waitsForSpeed, speedsRefused, unevenShards, leastFactor, mostFactor, correctedRoutes atomic.Int64

	starts                  [shard.Outdated + 1]atomic.Int64
	answers                 [submission.Unfinished + 1]atomic.Int64
	startTimes, answerTimes histogram
	// requestAges has how long jobs had waited as they were submitted, batchAges how old messages of other instances were at most as they were taken.
	requestAges, batchAges histogram
	urgent                 urgentCounters
	claims                 claimCounters
	leases                 leaseCounters
	causes                 causeCounters
	traffic                traffic
}

// countStart counts an answered or failed start call.
func (cnt *counters) countStart(clr shard.CallResult, took time.Duration) {
	cnt.starts[clr].Add(1)
	cnt.startTimes.observe(took)
}

// countOrder counts an order or recall that is sent to a leader.
func (cnt *counters) countOrder(act *submission.SendOrder) {
	cnt.causes.count(&act.Cause)
	switch {
	case act.Order.Recall:
		cnt.recalls.Add(1)
	case act.Order.Reassigned:
		cnt.reassignments.Add(1)
	default:
		cnt.orders.Add(1)
	}
}

// countReturn counts an order that a leader has returned; an instance of a later version may tell reasons that are not known here.
func (cnt *counters) countReturn(rsn shard.ReturnReason) {
	if rsn < 0 || rsn >= shard.ReturnReasons {
		rsn = shard.NoReason
	}
	cnt.returns[rsn].Add(1)
}

// countAdmission counts a decision on a submission.
func (cnt *counters) countAdmission(act *submission.RecordAdmission) {
	switch {
	case act.Refused:
		cnt.notAdmitted.Add(1)
	case act.HasFreeCapacity:
		cnt.admittedWithCapacity.Add(1)
	default:
		cnt.admittedToWait.Add(1)
		if num := len(act.ExpectedWaits); num > 0 {
			cnt.waits.observe(act.ExpectedWaits[num-1])
		}
	}
}

// handler serves the metrics as text, one per line.
func (cnt *counters) handler() http.Handler {
	return http.HandlerFunc(func(wrt http.ResponseWriter, _ *http.Request) {
		wrt.Header().Set("Content-Type", "text/plain; charset=utf-8")
		line := func(name string, val int64) {
			_, _ = fmt.Fprintf(wrt, "%s %d\n", name, val) // Fails if the client has closed the connection.
		}
		line("submissions", cnt.submissions.Load())
		line("refusals", cnt.refusals.Load())
		line("callers-gone", cnt.callersGone.Load())
		line("jobs-cancelled", cnt.cancels.Load())
		line("admitted-with-room", cnt.admittedWithCapacity.Load())
		line("admitted-to-wait", cnt.admittedToWait.Load())
		line("not-admitted", cnt.notAdmitted.Load())
		cnt.waits.write("expected-wait", line)
		line("stops", cnt.stops.Load())
		line("looks", cnt.renewals.Load())
		line("store-reads", cnt.storeReads.Load())
		line("list-reads", cnt.listReads.Load())
		line("list-reads-put-off", cnt.listReadsDeferred.Load())
		line("lists-sent", cnt.listsSent.Load())
		line("list-bytes-a-second", cnt.listBytes.Load())
		line("list-digests-written", cnt.digests.Load())
		line("list-digests-refused", cnt.badDigests.Load())
		line("configurations-sent", cnt.configsSent.Load())
		line("server-changes-sent", cnt.changesSent.Load())
		line("closings-refused", cnt.badClosings.Load())
		line("closed-failure-domains", cnt.closedDomains.Load())
		line("runs-in-closed-domains", cnt.closedRuns.Load())
		line("server-room-changes", cnt.roomChanges.Load())
		line("servers-over-their-room", cnt.overfullServers.Load())
		line("list-age-millis", cnt.listAge.Load()/int64(time.Millisecond))
		line("late-batches", cnt.lateBatches.Load())
		line("large-messages", cnt.largeMessages.Load())
		line("held-up", cnt.pauses.Load())
		line("log-lines-dropped", cnt.logsDropped.Load())
		cnt.writeOrders(line)
		line("servers-put-off", cnt.quarantines.Load())
		line("waits-for-a-faster-server", cnt.waitsForSpeed.Load())
		line("server-speeds-refused", cnt.speedsRefused.Load())
		line("shards-with-uneven-servers", cnt.unevenShards.Load())
		line("server-run-time-least-thousandths", cnt.leastFactor.Load())
		line("server-run-time-most-thousandths", cnt.mostFactor.Load())
		line("routes-with-corrected-estimates", cnt.correctedRoutes.Load())
		cnt.claims.write(line)
		cnt.leases.write(line)
		cnt.causes.write(line)
		for res := range cnt.answers {
			line("answers-"+submission.Result(res).String(), cnt.answers[res].Load())
		}
		cnt.urgent.write(line)
		for _, cls := range cnt.traffic.classes() {
			line(cls.name+"-bytes-in", int64(cls.cnt.Stats().BytesIn))
			line(cls.name+"-bytes-out", int64(cls.cnt.Stats().BytesOut))
		}
		cnt.startTimes.write("start", line)
		cnt.answerTimes.write("answer", line)
		cnt.requestAges.write("request-age", line)
		cnt.batchAges.write("batch-age", line)
		if mem := expvar.Get("memstats"); mem != nil {
			_, _ = fmt.Fprintf(wrt, "memstats %s\n", mem) // Fails as above.
		}
	})
}

// writeOrders passes the counters of starts, and of orders and their returns, to line.
func (cnt *counters) writeOrders(line func(string, int64)) {
	for clr := range cnt.starts {
		line("starts-"+shard.CallResult(clr).String(), cnt.starts[clr].Load())
	}
	line("orders", cnt.orders.Load())
	line("recalls", cnt.recalls.Load())
	line("reassignments", cnt.reassignments.Load())
	line("returns", cnt.returns[shard.NoReason].Load()) // By leaders that tell no reason.
	for rsn := shard.NoReason + 1; rsn < shard.ReturnReasons; rsn++ {
		line("returns-"+rsn.String(), cnt.returns[rsn].Load())
	}
}

// write passes the count of each bucket and the total in microseconds to line.
func (hst *histogram) write(name string, line func(string, int64)) {
	for idx := range hst.buckets {
		upper := "more"
		if idx < len(bucketBounds) {
			upper = bucketBounds[idx].String()
		}
		line(name+"-time-"+upper, hst.buckets[idx].Load())
	}
	line(name+"-time-total-micros", hst.total.Load()/int64(time.Microsecond))
}

// recordAnswer counts and logs the answer to a submission that arrived at a time.
func (dmn *Daemon) recordAnswer(sub *submission.Submission, ans submission.Answer, since time.Time) {
	took := dmn.now().Sub(since)
	dmn.cnt.answers[ans.Result].Add(1)
	dmn.cnt.answerTimes.observe(took)
	dmn.log.Info().Str("request", sub.Request).Str("job", sub.ID).Str("route", sub.Route).
		Stringer("result", ans.Result).Str("reason", ans.Reason).Dur("took", took).Msg("answered")
}
