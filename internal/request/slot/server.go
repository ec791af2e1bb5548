package slot

import (
	"slices"
	"time"
)

// Server is the account of one backend server.
type Server struct {
	id    string
	rack  *rack
	group *group
	// bucket and pos say where the server is filed; bucket 0 is filed nowhere.
	bucket int
	pos    int
	// filed is how many free slots the server was filed with.
	filed uint32

	slots    uint32
	inFlight uint32
	home     bool
	open     bool
	// held is set while the server is kept for a task of several slots.
	held    bool
	removed bool
	// ceiling bounds the slots in use while the server is probed; 0 is no bound.
	ceiling uint32
	// foreign is how many slots others use, as far as the server's last report proves it.
	foreign uint32
	lent    []Loan
	lentSum uint32
	// borrowed slots of each peer, with the time after which they start nothing new.
	borrowed    []Loan
	borrowedSum uint32
}

// Loan is a number of slots of one backend server that one peer lends or borrows.
type Loan struct {
	Peer  string
	Slots uint32
	// Until is when the loan ends: no task starts on it any more.
	Until time.Time
	// DrainedAt is when the last task that started on it is thought to have ended.
	DrainedAt time.Time
}

type rack struct{ inFlight int }

// ID returns the name of the backend server.
func (srv *Server) ID() string { return srv.id }

// Slots returns how many slots the backend server has.
func (srv *Server) Slots() uint32 { return srv.slots }

// InUse returns how many slots this entry instance uses.
func (srv *Server) InUse() uint32 { return srv.inFlight }

// Home reports whether this entry instance gives out the slots of the backend server.
func (srv *Server) Home() bool { return srv.home }

// Lent returns how many slots are lent to peers.
func (srv *Server) Lent() uint32 { return srv.lentSum }

// Loans returns the loans that the server's slots were borrowed by.
func (srv *Server) Loans() []Loan { return slices.Clone(srv.borrowed) }

// Borrowed returns how many slots are borrowed.
func (srv *Server) Borrowed() uint32 { return srv.borrowedSum }

// Free returns how many more slots may be used now.
func (srv *Server) Free() uint32 {
	if srv.held {
		return 0
	}
	return srv.Idle()
}

// Idle returns how many more slots could be used if the server were not held.
func (srv *Server) Idle() uint32 {
	if !srv.open {
		return 0
	}
	free := srv.allowance()
	if srv.ceiling > 0 {
		free = min(free, less(srv.ceiling, srv.inFlight+srv.lentSum))
	}
	return free
}

func (srv *Server) allowance() uint32 {
	if srv.home {
		return less(srv.slots, srv.inFlight+max(srv.lentSum, srv.foreign))
	}
	return min(less(srv.borrowedSum, srv.inFlight), less(srv.slots, srv.inFlight+srv.foreign))
}

func less(num, sub uint32) uint32 {
	if sub >= num {
		return 0
	}
	return num - sub
}

func sum(lns []Loan) uint32 {
	var tot uint32
	for _, lon := range lns {
		tot += lon.Slots
	}
	return tot
}

// undrained keeps the loans whose slots may be in use.
func undrained(lns []Loan, now time.Time) []Loan {
	kept := lns[:0]
	for _, lon := range lns {
		if lon.DrainedAt.After(now) {
			kept = append(kept, lon)
		}
	}
	return kept
}

// trim takes slots away from loans that have ended until those hold no more than num.
func trim(lns []Loan, now time.Time, num uint32) []Loan {
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

// give takes up to num slots of a peer's loans away and returns how many it took.
func give(lns []Loan, peer string, num uint32) ([]Loan, uint32) {
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
