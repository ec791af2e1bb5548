package dispatch

// Stats holds the counters of a Dispatcher and its current counts, for expvar and reports.
type Stats struct {
	// Jobs, Waiting, InFlight, Free, Lent, Borrowed and EjectedServers are current counts: Waiting in tasks,
	// InFlight, Free, Lent and Borrowed in slots.
	Jobs, Waiting, InFlight, Free, Lent, Borrowed, EjectedServers int

	JobsAdmitted, JobsRefused, JobsEnded uint64
	// Starts and Results count the useful messages, one for each task; Results includes duplicate and late ones.
	Starts, Results uint64
	// Refusals counts the starts that backend servers refused, Retries the new attempts after a refusal.
	Refusals, Retries uint64
	// LateAnswers counts the answers that were ignored as late, duplicate or outdated.
	LateAnswers uint64
	// Queries, Revokes, Stops and Renewals count what was sent to backend servers, Statuses the answers received.
	Queries, Statuses, Revokes, Stops, Renewals uint64
	// Reconnects counts the connection attempts, Lost the lost tasks, Ejections the ejections of backend servers,
	// Pauses the process pauses that exceeded a lease.
	Reconnects, Lost, Ejections, Pauses uint64
	// Grants counts the loans and offers with slots that were made to peers; GrantsReceived includes empty ones.
	Borrows, BorrowsReceived, Grants, GrantsReceived uint64
	Offers, Returns, ReturnsReceived                 uint64
	// SlotsBorrowed and SlotsLent count the slots of all loans since the start.
	SlotsBorrowed, SlotsLent uint64
}

// Snapshot returns the counters with the current counts.
func (dsp *Dispatcher) Snapshot() Stats {
	sta := dsp.stats
	sta.Jobs = len(dsp.jobs)
	sta.Waiting = dsp.waiting
	sta.InFlight = int(dsp.pool.InUse())
	sta.Free = int(dsp.pool.Free())
	sta.Lent = int(dsp.pool.Lent())
	sta.EjectedServers = dsp.detector.EjectedCount()
	for _, srv := range dsp.serverList {
		sta.Borrowed += int(srv.acct.Borrowed())
	}
	return sta
}
