package shard

import "time"

// A server has one lease for all that runs there, which ends by its own clock and is only ever extended. A leader that doesn't reach a server counts its runs
// as over by the last extension that it has sent itself. So it must not extend the lease of a run that another one may count as over: the owner that has
// missed this leader, the caller that submits its job again, or a former leader.

// mayExtendLeases reports whether a start or a renewal may extend the lease of a server: each run there goes on for an owner that was heard recently, or has
// accepted its stop. Other stops may be waited for until they are overdue, but not those of a lost owner's runs, as it may have been missed late.
func (ldr *Leader) mayExtendLeases(now time.Time, srv *server) bool {
	for _, rn := range srv.runList {
		switch {
		case !rn.stopAcceptedAt.IsZero():
		case rn.ord == nil || rn.ownerLost || !ldr.ownerHeardRecently(now, rn.ord):
			return false
		case rn.state == ending && !rn.stopAt.IsZero() && now.Sub(rn.stopAt) > ldr.cfg.StopTimeout:
			return false
		}
	}
	return true
}

// takesTasks reports whether a new task may start on a server, which extends its lease.
func (ldr *Leader) takesTasks(now time.Time, srv *server) bool {
	return srv.acceptsTasks(now, ldr.missedTolerated()) && ldr.mayExtendLeases(now, srv)
}

// leaseUntil returns the end of a lease that begins now, on the server's clock. As that clock may be slow, its present value is
// underestimated in proportion to the time since it was read; otherwise leases could be too long.
func (srv *server) leaseUntil(now time.Time, lease time.Duration) time.Duration {
	return srv.clock + time.Duration(float64(now.Sub(srv.clockAt))/clockSkew) + lease
}

// extendLease records that a call which extends the leases is sent now, and returns the end to send.
func (srv *server) extendLease(now time.Time, lease time.Duration) time.Duration {
	until := srv.leaseUntil(now, lease)
	srv.renewedAt, srv.leaseEnd = now, max(srv.leaseEnd, until)
	return until
}

// noteLostExtension records that a call which extends the leases, meant for an incarnation of the server, was given up without an answer.
func (srv *server) noteLostExtension(now time.Time, inc Incarnation) {
	srv.extensionLostAt = now
	if inc != srv.incarnation {
		srv.foreignLeaseAt = now
	}
}

// noteFormerLeader records the first answer of a server to this leader, until when it has obeyed a former one. That one may have extended the leases, and may
// not have known the server's incarnation.
func (srv *server) noteFormerLeader(now time.Time) {
	srv.renewedAt = now
	if srv.incarnation != 0 {
		srv.foreignLeaseAt = now
	}
}

// lastExtension returns when a call that extends the leases may last have been carried out.
func (srv *server) lastExtension() time.Time { return laterOf(srv.renewedAt, srv.extensionLostAt) }

// leaseOverAt returns when the lease of a run has ended by any clock, and the run is over, if only this leader extends it. Where servers start again under their
// IDs, one that was not confirmed may be in an incarnation that this leader doesn't know.
func (ldr *Leader) leaseOverAt(srv *server, rn *run) time.Time {
	foreign := srv.foreignLeaseAt
	if srv.incarnation != 0 && !rn.confirmed {
		foreign = srv.lastExtension()
	}
	return laterOf(srv.renewedAt.Add(ldr.cfg.Expiry()), foreign.Add(ldr.cfg.LongestExpiry()))
}

func laterOf(one, two time.Time) time.Time {
	if one.After(two) {
		return one
	}
	return two
}
