package dispatch

// Stats counts what a Dispatcher has and what it sent and received, for expvar and reports.
type Stats struct {
	// Jobs, Waiting, InFlight, Free, Lent, Borrowed, LongInFlight and EjectedServers are counts of
	// now; Waiting counts tasks, the following three slots.
	Jobs, Waiting, InFlight, Free, Lent, Borrowed, EjectedServers int

	JobsAdmitted, JobsRefused, JobsEnded uint64
	// Starts and Results are the useful messages; a result counts once by task.
	Starts, Results uint64
	// Refusals counts starts that a backend server refused, Retries the new attempts.
	Refusals, Retries uint64
	// LateAnswers counts answers that were dropped: late, doubled or crossed.
	LateAnswers                            uint64
	Queries, Statuses, Revokes, Stops, Renewals uint64
	Reconnects, Lost, Ejections, Pauses    uint64
	Borrows, BorrowsReceived, Grants, GrantsReceived uint64
	Offers, Returns, ReturnsReceived       uint64
	SlotsBorrowed, SlotsLent               uint64
}

// Snapshot returns the counts of now.
func (dsp *Dispatcher) Snapshot() Stats {
	sta := dsp.stats
	sta.Jobs = len(dsp.jobs)
	sta.Waiting = dsp.waiting
	sta.InFlight = int(dsp.pool.InUse())
	sta.Free = int(dsp.pool.Free())
	sta.Lent = int(dsp.pool.Lent())
	sta.EjectedServers = dsp.detector.EjectedCount()
	for _, srv := range dsp.listing {
		sta.Borrowed += int(srv.acct.Borrowed())
	}
	return sta
}
