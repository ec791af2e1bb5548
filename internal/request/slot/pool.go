package slot

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"chestnutstack/internal/request/job"
)

// topBucket is the bucket of all servers with that many free slots or more, so that a 64-bit mask tells which
// buckets have servers.
const topBucket = 63

// Pool holds the accounts of all backend servers, grouped by shape and sorted into buckets by free slots.
type Pool struct {
	rnd     *rand.Rand
	servers map[string]*Server
	racks   map[string]*rack
	shapes  []Shape
	// groups has the groups of the own failure domain before the others.
	groups []*group
	free   uint32
	// homeFree is the part of free on the backend servers assigned to this instance.
	homeFree uint32
	// homeSlots is the number of slots of the backend servers assigned to this instance.
	homeSlots uint32
	inUse     uint32
	lent      uint32
}

// group holds the available backend servers of one shape and location, in buckets by free slots.
type group struct {
	shape int
	local bool
	// buckets holds the servers by the number of their free slots; a bit of nonEmpty is set for each bucket that has any.
	buckets  [topBucket + 1][]*Server
	nonEmpty uint64
}

// Params describes a backend server to Put. Local is true for a server in the failure domain of this instance,
// Home for one assigned to it.
type Params struct {
	ID    string
	Rack  string
	Local bool
	Home  bool
	Shape Shape
}

// New returns an empty Pool; rnd chooses among equally good backend servers.
func New(rnd *rand.Rand) *Pool {
	return &Pool{rnd: rnd, servers: map[string]*Server{}, racks: map[string]*rack{}}
}

// Server returns the account of the backend server with the ID, or nil if it isn't known.
func (pol *Pool) Server(id string) *Server { return pol.servers[id] }

// Shapes returns the shapes of all backend servers added so far; the order doesn't change.
func (pol *Pool) Shapes() []Shape { return pol.shapes }

// Free returns how many slots this instance may use now, on all backend servers.
func (pol *Pool) Free() uint32 { return pol.free }

// HomeSlots returns the number of slots of the backend servers assigned to this instance, free or not.
func (pol *Pool) HomeSlots() uint32 { return pol.homeSlots }

// HomeFree returns how many slots may be used now on the backend servers assigned to this instance.
func (pol *Pool) HomeFree() uint32 { return pol.homeFree }

// Lent returns how many slots are lent to peers.
func (pol *Pool) Lent() uint32 { return pol.lent }

// InUse returns how many slots the tasks of this instance use.
func (pol *Pool) InUse() uint32 { return pol.inUse }

// Put adds a backend server or updates its description; its slots in use and its loans stay.
func (pol *Pool) Put(par Params) *Server {
	srv := pol.servers[par.ID]
	if srv == nil {
		srv = &Server{id: par.ID}
		pol.servers[par.ID] = srv
	}
	pol.removeFromBucket(srv)
	if srv.home {
		pol.homeSlots -= srv.slots
	}
	srv.slots = par.Shape.Slots
	srv.home = par.Home
	if srv.home {
		pol.homeSlots += srv.slots
	}
	pol.setRack(srv, par.Rack)
	srv.group = pol.groupOf(pol.shapeOf(par.Shape), par.Local)
	pol.addToBucket(srv)
	return srv
}

// Remove removes a backend server and its slots from all counts.
func (pol *Pool) Remove(srv *Server) {
	pol.removeFromBucket(srv)
	if srv.home {
		pol.homeSlots -= srv.slots
	}
	pol.inUse -= srv.inUse
	pol.lent -= srv.lentSum
	srv.rack.inUse -= int(srv.inUse)
	srv.removed = true
	delete(pol.servers, srv.id)
}

// Widths returns for each shape the number of slots that a task with these needs takes, or 0 where it never fits.
// The result reuses the memory of into.
func (pol *Pool) Widths(nds job.Needs, into []uint32) []uint32 {
	into = into[:0]
	for _, shp := range pol.shapes {
		into = append(into, shp.Width(nds))
	}
	return into
}

// Pick returns the backend server with the most free slots for a task of these widths and the task's width there,
// or nil if the task fits nowhere now. Servers of the own failure domain come first. Of two random candidates with
// the most free slots, the one whose rack has fewer slots in use is taken, which spreads a job over racks in
// constant time.
func (pol *Pool) Pick(widths []uint32) (*Server, uint32) {
	for _, grp := range pol.groups {
		wid := widths[grp.shape]
		if wid == 0 || grp.nonEmpty == 0 {
			continue
		}
		top := bits.Len64(grp.nonEmpty) - 1
		if top < int(min(wid, topBucket)) {
			continue
		}
		srv := pol.choose(grp.buckets[top])
		if srv.Free() >= wid {
			return srv, wid
		}
	}
	return nil, 0
}

// choose returns one of two random servers of the bucket, that in the rack with fewer slots in use.
func (pol *Pool) choose(bkt []*Server) *Server {
	if len(bkt) == 1 {
		return bkt[0]
	}
	one := bkt[pol.rnd.IntN(len(bkt))]
	two := bkt[pol.rnd.IntN(len(bkt))]
	if two.rack.inUse < one.rack.inUse {
		return two
	}
	return one
}

// Acquire takes num slots of a backend server for a task.
func (pol *Pool) Acquire(srv *Server, num uint32) {
	srv.inUse += num
	srv.rack.inUse += int(num)
	pol.inUse += num
	pol.updateBucket(srv)
}

// Release gives back num slots that a task used.
func (pol *Pool) Release(srv *Server, num uint32) {
	num = min(num, srv.inUse)
	srv.inUse -= num
	srv.rack.inUse -= int(num)
	pol.inUse -= num
	pol.updateBucket(srv)
}

// SetOpen sets whether new tasks may be started on the backend server.
func (pol *Pool) SetOpen(srv *Server, open bool) {
	srv.open = open
	pol.updateBucket(srv)
}

// SetMaxInUse sets the upper bound of the slots in use and lent on a backend server; 0 removes the bound.
func (pol *Pool) SetMaxInUse(srv *Server, num uint32) {
	srv.maxInUse = num
	pol.updateBucket(srv)
}

// SetReportedFree computes from the count of free slots that the backend server reported how many slots other
// instances use.
//
// A start that is still on its way is counted in inUse here but not by the server. So the difference is a lower
// bound of what others use, and never more than they do use. Loans that have ended hold no more slots than that,
// since nothing new starts on them.
func (pol *Pool) SetReportedFree(srv *Server, now time.Time, free uint32) {
	srv.usedByOthers = subtractOrZero(srv.slots, min(free, srv.slots)+srv.inUse)
	if srv.lentSum > srv.usedByOthers {
		srv.lentLoans = trimEnded(srv.lentLoans, now, srv.usedByOthers)
		pol.sumLent(srv)
	}
	pol.updateBucket(srv)
}

// sumLent updates the totals of lent slots after a change of the server's loans.
func (pol *Pool) sumLent(srv *Server) {
	pol.lent -= srv.lentSum
	srv.lentSum = sum(srv.lentLoans)
	pol.lent += srv.lentSum
}

// ForgetReport sets the slots that others use to none, since the last report is out of date; the next refusal
// brings a new report.
func (pol *Pool) ForgetReport(srv *Server) {
	srv.usedByOthers = 0
	pol.updateBucket(srv)
}

// UsedByOthers returns how many slots other instances use at least, by the last report.
func (srv *Server) UsedByOthers() uint32 { return srv.usedByOthers }

// Lend lends up to lon.Slots free slots of the backend servers assigned to this instance, those with the most free
// slots first, and calls each for every server with the number of slots lent.
func (pol *Pool) Lend(lon Loan, each func(srv *Server, slots uint32)) {
	num := lon.Slots
	for _, grp := range pol.groups {
		for top := topBucket; top > 0 && num > 0; top-- {
			// A loan moves the server to another bucket, so that the bucket changes during the loop.
			for _, srv := range slices.Clone(grp.buckets[top]) {
				lon.Slots = num
				num -= pol.lendOne(srv, lon, each)
			}
		}
	}
}

// lendOne lends free slots of one server and returns how many.
func (pol *Pool) lendOne(srv *Server, lon Loan, each func(*Server, uint32)) uint32 {
	cut := min(srv.Free(), lon.Slots)
	if !srv.home || cut == 0 {
		return 0
	}
	lon.Slots = cut
	srv.lentLoans = append(srv.lentLoans, lon)
	srv.lentSum += cut
	pol.lent += cut
	if srv.usedByOthers > 0 {
		// usedByOthers was reported before the loan, so that the lent slots are still free.
		srv.usedByOthers += cut
	}
	pol.updateBucket(srv)
	each(srv, cut)
	return cut
}

// Borrow adds slots of a backend server that a peer lends until the given time.
func (pol *Pool) Borrow(srv *Server, peer string, num uint32, until time.Time) {
	srv.borrowedLoans = append(srv.borrowedLoans, Loan{Peer: peer, Slots: num, Until: until, DrainedAt: until})
	srv.borrowedSum += num
	pol.updateBucket(srv)
}

// Expire ends the expired loans of a backend server, lent ones (by DrainedAt) and borrowed ones.
func (pol *Pool) Expire(srv *Server, now time.Time) {
	srv.lentLoans = undrained(srv.lentLoans, now)
	pol.sumLent(srv)
	srv.borrowedLoans = undrained(srv.borrowedLoans, now)
	srv.borrowedSum = sum(srv.borrowedLoans)
	pol.updateBucket(srv)
}

// TakeBack takes back up to num slots that the peer borrowed and returns how many they were.
func (pol *Pool) TakeBack(srv *Server, peer string, num uint32) uint32 {
	kept, taken := takeFrom(srv.lentLoans, peer, num)
	srv.lentLoans = kept
	srv.lentSum -= taken
	pol.lent -= taken
	srv.usedByOthers = subtractOrZero(srv.usedByOthers, taken)
	pol.updateBucket(srv)
	return taken
}

// GiveBack ends the use of up to num slots that were borrowed from the peer and returns how many they were.
func (pol *Pool) GiveBack(srv *Server, peer string, num uint32) uint32 {
	kept, taken := takeFrom(srv.borrowedLoans, peer, num)
	srv.borrowedLoans = kept
	srv.borrowedSum -= taken
	pol.updateBucket(srv)
	return taken
}

// shapeOf returns the index of the shape, which it adds if it is new.
func (pol *Pool) shapeOf(shp Shape) int {
	if idx := slices.Index(pol.shapes, shp); idx >= 0 {
		return idx
	}
	pol.shapes = append(pol.shapes, shp)
	return len(pol.shapes) - 1
}

// groupOf returns the group of servers of the shape and location, and creates it if necessary.
func (pol *Pool) groupOf(shape int, local bool) *group {
	for _, grp := range pol.groups {
		if grp.shape == shape && grp.local == local {
			return grp
		}
	}
	grp := &group{shape: shape, local: local}
	pol.groups = append(pol.groups, grp)
	slices.SortStableFunc(pol.groups, func(one, two *group) int {
		switch {
		case one.local == two.local:
			return 0
		case one.local:
			return -1
		default:
			return 1
		}
	})
	return grp
}

// setRack moves the server to the named rack.
func (pol *Pool) setRack(srv *Server, name string) {
	rck := pol.racks[name]
	if rck == nil {
		rck = &rack{}
		pol.racks[name] = rck
	}
	if srv.rack != nil {
		srv.rack.inUse -= int(srv.inUse)
	}
	rck.inUse += int(srv.inUse)
	srv.rack = rck
}

// updateBucket moves the server to the bucket of its current free slots; it is called after each change of an
// account.
func (pol *Pool) updateBucket(srv *Server) {
	pol.removeFromBucket(srv)
	pol.addToBucket(srv)
}

// Reserve reserves a backend server for a task of these widths, so that Pick doesn't choose it and its free slots
// accumulate. Of the servers assigned to this instance on which the task could fit, the one with the fewest slots
// in use is taken; nil if there is none.
func (pol *Pool) Reserve(widths []uint32) *Server {
	var best *Server
	for _, srv := range pol.servers {
		wid := widths[srv.group.shape]
		if wid == 0 || !srv.open || !srv.home || srv.reserved {
			continue
		}
		if best == nil || srv.inUse < best.inUse || srv.inUse == best.inUse && srv.id < best.id {
			best = srv
		}
	}
	if best != nil {
		best.reserved = true
		pol.updateBucket(best)
	}
	return best
}

// Unreserve ends a reservation by Reserve.
func (pol *Pool) Unreserve(srv *Server) {
	srv.reserved = false
	pol.updateBucket(srv)
}

// WidthOn returns how many slots a task of these widths takes on the backend server.
func (pol *Pool) WidthOn(srv *Server, widths []uint32) uint32 { return widths[srv.group.shape] }
