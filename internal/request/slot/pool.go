package slot

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"chestnutstack/internal/request/job"
)

// topBucket holds every server with that many free slots or more, so that a machine word tells
// which buckets have servers.
const topBucket = 63

// Pool files backend servers by shape and free slots.
type Pool struct {
	rnd     *rand.Rand
	servers map[string]*Server
	racks   map[string]*rack
	shapes  []Shape
	// groups holds the servers of the own failure domain before the others.
	groups []*group
	free   uint32
	// homeFree is the part of free on own backend servers.
	homeFree uint32
	home     uint32
	inUse    uint32
	lent     uint32
}

type group struct {
	shape   int
	local   bool
	buckets [topBucket + 1][]*Server
	filled  uint64
}

// Params describes a backend server to Put.
type Params struct {
	ID    string
	Rack  string
	Local bool
	Home  bool
	Shape Shape
}

// New returns an empty Pool that breaks ties by the generator.
func New(rnd *rand.Rand) *Pool {
	return &Pool{rnd: rnd, servers: map[string]*Server{}, racks: map[string]*rack{}}
}

// Server returns the account of a backend server, or nil.
func (pol *Pool) Server(id string) *Server { return pol.servers[id] }

// Shapes returns the shapes seen so far; their order does not change.
func (pol *Pool) Shapes() []Shape { return pol.shapes }

// Free returns how many slots may be used now.
func (pol *Pool) Free() uint32 { return pol.free }

// HomeSlots returns the slots of the backend servers that have their home here.
func (pol *Pool) HomeSlots() uint32 { return pol.home }

// HomeFree returns how many slots of own backend servers may be used now.
func (pol *Pool) HomeFree() uint32 { return pol.homeFree }

// Lent returns how many own slots are lent.
func (pol *Pool) Lent() uint32 { return pol.lent }

// InUse returns the slots that this entry instance uses.
func (pol *Pool) InUse() uint32 { return pol.inUse }

// Put adds a backend server or changes what is known of it; its slots in use and loans stay.
func (pol *Pool) Put(par Params) *Server {
	srv := pol.servers[par.ID]
	if srv == nil {
		srv = &Server{id: par.ID}
		pol.servers[par.ID] = srv
	}
	pol.unfile(srv)
	if srv.home {
		pol.home -= srv.slots
	}
	srv.slots = par.Shape.Slots
	srv.home = par.Home
	if srv.home {
		pol.home += srv.slots
	}
	pol.setRack(srv, par.Rack)
	srv.group = pol.groupOf(pol.shapeOf(par.Shape), par.Local)
	pol.file(srv)
	return srv
}

// Remove forgets a backend server.
func (pol *Pool) Remove(srv *Server) {
	pol.unfile(srv)
	if srv.home {
		pol.home -= srv.slots
	}
	pol.inUse -= srv.inFlight
	pol.lent -= srv.lentSum
	srv.rack.inFlight -= int(srv.inFlight)
	srv.removed = true
	delete(pol.servers, srv.id)
}

// Widths returns for each shape the slots that a task takes, 0 where it never fits.
func (pol *Pool) Widths(nds job.Needs, into []uint32) []uint32 {
	into = into[:0]
	for _, shp := range pol.shapes {
		into = append(into, shp.Width(nds))
	}
	return into
}

// Pick returns the backend server with the most free slots for a task of these widths, the own
// failure domain first, or nil. Of two candidates the one in the idler rack wins, which spreads a
// job over racks at no cost in the number of servers.
func (pol *Pool) Pick(widths []uint32) (*Server, uint32) {
	for _, grp := range pol.groups {
		wid := widths[grp.shape]
		if wid == 0 || grp.filled == 0 {
			continue
		}
		top := bits.Len64(grp.filled) - 1
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

func (pol *Pool) choose(bkt []*Server) *Server {
	if len(bkt) == 1 {
		return bkt[0]
	}
	one := bkt[pol.rnd.IntN(len(bkt))]
	two := bkt[pol.rnd.IntN(len(bkt))]
	if two.rack.inFlight < one.rack.inFlight {
		return two
	}
	return one
}

// Acquire takes slots for a task.
func (pol *Pool) Acquire(srv *Server, num uint32) {
	srv.inFlight += num
	srv.rack.inFlight += int(num)
	pol.inUse += num
	pol.refile(srv)
}

// Release gives the slots of a task back.
func (pol *Pool) Release(srv *Server, num uint32) {
	num = min(num, srv.inFlight)
	srv.inFlight -= num
	srv.rack.inFlight -= int(num)
	pol.inUse -= num
	pol.refile(srv)
}

// SetOpen says whether new tasks may go to the backend server at all.
func (pol *Pool) SetOpen(srv *Server, open bool) {
	srv.open = open
	pol.refile(srv)
}

// SetMaxInUse bounds the slots in use; 0 lifts the bound.
func (pol *Pool) SetMaxInUse(srv *Server, num uint32) {
	srv.ceiling = num
	pol.refile(srv)
}

// SetReportedFree takes over the free count that the backend server reported.
//
// A start that is still on its way is counted in inFlight but not by the server, so that what is
// left over is a lower bound of what others use: it never makes up a user that is not there. Loans
// that have ended hold no more than that, since nothing new starts on them.
func (pol *Pool) SetReportedFree(srv *Server, now time.Time, free uint32) {
	srv.foreign = less(srv.slots, min(free, srv.slots)+srv.inFlight)
	if srv.lentSum > srv.foreign {
		srv.lent = trim(srv.lent, now, srv.foreign)
		pol.sumLent(srv)
	}
	pol.refile(srv)
}

func (pol *Pool) sumLent(srv *Server) {
	pol.lent -= srv.lentSum
	srv.lentSum = sum(srv.lent)
	pol.lent += srv.lentSum
}

// ForgetReport forgets what others use: a report grows old, and the next refusal brings a new one.
func (pol *Pool) ForgetReport(srv *Server) {
	srv.foreign = 0
	pol.refile(srv)
}

// UsedByOthers returns how many slots others are believed to use.
func (srv *Server) UsedByOthers() uint32 { return srv.foreign }

// Lend lends up to as many free slots of own backend servers as the loan names, the freest first,
// and calls each for every backend server.
func (pol *Pool) Lend(lon Loan, each func(srv *Server, slots uint32)) {
	num := lon.Slots
	for _, grp := range pol.groups {
		for top := topBucket; top > 0 && num > 0; top-- {
			// A loan refiles the server, so that the bucket changes under the loop.
			for _, srv := range slices.Clone(grp.buckets[top]) {
				lon.Slots = num
				num -= pol.lendOne(srv, lon, each)
			}
		}
	}
}

func (pol *Pool) lendOne(srv *Server, lon Loan, each func(*Server, uint32)) uint32 {
	cut := min(srv.Free(), lon.Slots)
	if !srv.home || cut == 0 {
		return 0
	}
	lon.Slots = cut
	srv.lent = append(srv.lent, lon)
	srv.lentSum += cut
	pol.lent += cut
	if srv.foreign > 0 {
		// What others used before the loan does not use the loan.
		srv.foreign += cut
	}
	pol.refile(srv)
	each(srv, cut)
	return cut
}

// Borrow adds slots that a peer lent.
func (pol *Pool) Borrow(srv *Server, peer string, num uint32, until time.Time) {
	srv.borrowed = append(srv.borrowed, Loan{Peer: peer, Slots: num, Until: until, DrainedAt: until})
	srv.borrowedSum += num
	pol.refile(srv)
}

// Expire ends the loans, both ways, that ran out.
func (pol *Pool) Expire(srv *Server, now time.Time) {
	srv.lent = undrained(srv.lent, now)
	pol.sumLent(srv)
	srv.borrowed = undrained(srv.borrowed, now)
	srv.borrowedSum = sum(srv.borrowed)
	pol.refile(srv)
}

// TakeBack takes back slots that a peer had borrowed and returns how many they were.
func (pol *Pool) TakeBack(srv *Server, peer string, num uint32) uint32 {
	kept, taken := give(srv.lent, peer, num)
	srv.lent = kept
	srv.lentSum -= taken
	pol.lent -= taken
	srv.foreign = less(srv.foreign, taken)
	pol.refile(srv)
	return taken
}

// GiveBack ends the use of up to num slots that were borrowed from a peer.
func (pol *Pool) GiveBack(srv *Server, peer string, num uint32) uint32 {
	kept, taken := give(srv.borrowed, peer, num)
	srv.borrowed = kept
	srv.borrowedSum -= taken
	pol.refile(srv)
	return taken
}

func (pol *Pool) shapeOf(shp Shape) int {
	if idx := slices.Index(pol.shapes, shp); idx >= 0 {
		return idx
	}
	pol.shapes = append(pol.shapes, shp)
	return len(pol.shapes) - 1
}

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

func (pol *Pool) setRack(srv *Server, name string) {
	rck := pol.racks[name]
	if rck == nil {
		rck = &rack{}
		pol.racks[name] = rck
	}
	if srv.rack != nil {
		srv.rack.inFlight -= int(srv.inFlight)
	}
	rck.inFlight += int(srv.inFlight)
	srv.rack = rck
}

func (pol *Pool) refile(srv *Server) {
	pol.unfile(srv)
	pol.file(srv)
}

// Reserve keeps a backend server on which a task of these widths could fit: nothing else is picked on
// it. The one with the fewest slots in use is taken.
func (pol *Pool) Reserve(widths []uint32) *Server {
	var best *Server
	for _, srv := range pol.servers {
		wid := widths[srv.group.shape]
		if wid == 0 || !srv.open || !srv.home || srv.held {
			continue
		}
		if best == nil || srv.inFlight < best.inFlight || srv.inFlight == best.inFlight && srv.id < best.id {
			best = srv
		}
	}
	if best != nil {
		best.held = true
		pol.refile(best)
	}
	return best
}

// Unreserve lets go of a backend server that Hold kept.
func (pol *Pool) Unreserve(srv *Server) {
	srv.held = false
	pol.refile(srv)
}

// WidthOn returns the slots that a task of these widths takes on a backend server.
func (pol *Pool) WidthOn(srv *Server, widths []uint32) uint32 { return widths[srv.group.shape] }
