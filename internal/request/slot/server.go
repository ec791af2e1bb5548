package slot

import (
	"slices"
	"time"
)

// Server is the account of the slots of one backend server.
type Server struct {
	id    string
	rack  *rack
	group *group
	// bucket and pos are the place of the server in its group; bucket 0 means that it is in no bucket.
	bucket int
	pos    int
	// freeInBucket is how many free slots the server had when it was put into its bucket.
	freeInBucket uint32

	slots uint32
	inUse uint32
	// home is true if the server is assigned to this instance, open if new tasks may be started on it.
	home bool
	open bool
	// reserved is true while the server is reserved for a task of several slots.
	reserved bool
	// removed is true after Pool.Remove, while a timer may still reference the account.
	removed bool
	// maxInUse is the upper bound of the slots in use and lent while the server is probed; 0 is no bound.
	maxInUse uint32
	// usedByOthers is how many slots other instances use at least, by the server's last report.
	usedByOthers uint32
	// lentLoans holds the loans to peers; lentSum and borrowedSum are the totals of slots.
	lentLoans []Loan
	lentSum   uint32
	// borrowedLoans holds the loans from peers, with the times after which no task starts on them.
	borrowedLoans []Loan
	borrowedSum   uint32
}

// Loan is a number of slots of one backend server that are lent to one peer or borrowed from it.
type Loan struct {
	Peer  string
	Slots uint32
	// Until is when the loan ends: no task starts on it afterwards.
	Until time.Time
	// DrainedAt is when the last task that started on the loan has ended, by estimate.
	DrainedAt time.Time
}

// rack counts the slots in use on the backend servers of a rack.
type rack struct{ inUse int }

// ID returns the ID of the backend server.
func (srv *Server) ID() string { return srv.id }

// Slots returns how many slots the backend server has in total.
func (srv *Server) Slots() uint32 { return srv.slots }

// InUse returns how many slots the tasks of this instance use on the backend server.
func (srv *Server) InUse() uint32 { return srv.inUse }

// Home reports whether the backend server is assigned to this instance.
func (srv *Server) Home() bool { return srv.home }

// Lent returns how many slots of the backend server are lent to peers.
func (srv *Server) Lent() uint32 { return srv.lentSum }

// BorrowedLoans returns the loans by which slots of the backend server are borrowed from peers.
func (srv *Server) BorrowedLoans() []Loan { return slices.Clone(srv.borrowedLoans) }

// Borrowed returns how many slots of the backend server are borrowed from peers.
func (srv *Server) Borrowed() uint32 { return srv.borrowedSum }

// Free returns how many more slots may be used now; 0 if the server is reserved.
func (srv *Server) Free() uint32 {
	if srv.reserved {
		return 0
	}
	return srv.Idle()
}

// Idle returns how many more slots could be used if the server were not reserved.
func (srv *Server) Idle() uint32 {
	if !srv.open {
		return 0
	}
	free := srv.usable()
	if srv.maxInUse > 0 {
		free = min(free, subtractOrZero(srv.maxInUse, srv.inUse+srv.lentSum))
	}
	return free
}

// usable returns how many more slots the tasks of this instance may use: on its own servers all but the lent
// ones, on others the borrowed ones, and nowhere those that others use.
func (srv *Server) usable() uint32 {
	if srv.home {
		return subtractOrZero(srv.slots, srv.inUse+max(srv.lentSum, srv.usedByOthers))
	}
	return min(subtractOrZero(srv.borrowedSum, srv.inUse), subtractOrZero(srv.slots, srv.inUse+srv.usedByOthers))
}

// subtractOrZero returns num-sub, or 0 if sub is larger.
func subtractOrZero(num, sub uint32) uint32 {
	if sub >= num {
		return 0
	}
	return num - sub
}

// sum returns the slots of all loans.
func sum(lns []Loan) uint32 {
	var tot uint32
	for _, lon := range lns {
		tot += lon.Slots
	}
	return tot
}

// undrained returns the loans whose slots may still be in use.
func undrained(lns []Loan, now time.Time) []Loan {
	kept := lns[:0]
	for _, lon := range lns {
		if lon.DrainedAt.After(now) {
			kept = append(kept, lon)
		}
	}
	return kept
}

// trimEnded reduces the loans that have ended until they hold at most num slots in total, and returns the loans
// that remain.
func trimEnded(lns []Loan, now time.Time, num uint32) []Loan {
	kept := lns[:0]
	for _, lon := range lns {
		if !lon.Until.After(now) {
			lon.Slots = min(lon.Slots, num)
			num -= lon.Slots
		}
		if lon.Slots > 0 {
			kept = append(kept, lon)
		}
	}
	return kept
}

// takeFrom removes up to num slots from the loans of the peer; it returns the loans that remain and how many slots
// it removed.
func takeFrom(lns []Loan, peer string, num uint32) ([]Loan, uint32) {
	kept := lns[:0]
	var taken uint32
	for _, lon := range lns {
		if lon.Peer == peer {
			cut := min(lon.Slots, num-taken)
			lon.Slots -= cut
			taken += cut
		}
		if lon.Slots > 0 {
			kept = append(kept, lon)
		}
	}
	return kept, taken
}
