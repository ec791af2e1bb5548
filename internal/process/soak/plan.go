package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// kind is a kind of trouble.
type kind string

// The kinds of trouble.
const (
	kill          kind = "kill"
	powerOff      kind = "power-off"
	stop          kind = "stop"
	rollingStop   kind = "rolling-stop"
	pauseProcess  kind = "pause"
	killAll       kind = "kill-all"
	cutDomain     kind = "cut-domain"
	cutStore      kind = "cut-store"
	cutOneWay     kind = "cut-one-way"
	silence       kind = "silence"
	resetAll      kind = "reset"
	slowLinks     kind = "slow-links"
	storeDown     kind = "store-down"
	storeSlow     kind = "store-slow"
	storeLoses    kind = "store-loses-answers"
	storeForgets  kind = "store-forgets"
	serverLate    kind = "server-late"
	serverCrash   kind = "server-crash"
	serverLeaves  kind = "server-leaves"
	serverFails   kind = "server-fails"
	serverStands  kind = "server-stands"
	serverSlow    kind = "server-slow"
	configuration kind = "configuration"
	reload        kind = "reload"
	closeDomain   kind = "close-domain"
	serverRestart kind = "server-restart"
	// serverRestartUnseen is serverRestart while answers of the server are held up, and before it is cut off.
	serverRestartUnseen kind = "server-restart-unseen"
	roomShrinks         kind = "room-shrinks"
	// roomShrinksUnseen is roomShrinks while the instances of the server's failure domain, one of which leads it, are out of the store's reach; those of
	// the last domain stay in it.
	roomShrinksUnseen kind = "room-shrinks-unseen"
)

// planned troubles are an operator's work: they alone may cut nothing off.
var planned = map[kind]bool{stop: true, rollingStop: true, configuration: true, reload: true, serverLeaves: true, closeDomain: true}

var kinds = []kind{
	kill, powerOff, stop, rollingStop, pauseProcess, killAll, cutDomain, cutStore, cutOneWay, silence, resetAll,
	slowLinks, storeDown, storeSlow, storeLoses, storeForgets, serverLate, serverCrash, serverLeaves, serverFails,
	serverStands, serverSlow, configuration, reload,
}

// trouble is something that goes wrong at a time, or an operator's work.
type trouble struct {
	kind kind
	at   time.Duration
	// lasts is how long it takes.
	lasts time.Duration
	// one and two choose what it hits.
	one, two int
}

// Shape is the size and length of a play.
type Shape struct {
	// Domains have Entries instances and Servers backend servers each.
	Domains, Entries, Servers int
	// For is how long callers send, Troubles how many things go wrong meanwhile.
	For      time.Duration
	Troubles int
	// Closings is how many times a failure domain is closed to new work and opened again.
	Closings int
	// ServerRestarts is how many times a backend server crashes and starts again under its ID.
	ServerRestarts int
	// UnseenRestarts is how many times a backend server starts again under its ID while its answers are held up, and is cut off then.
	UnseenRestarts int
	// RoomChanges is how many times the room of a backend server shrinks and grows again while it runs.
	RoomChanges int
	// AllDecisions switches the optional decisions on that are off by default.
	AllDecisions bool
}

// DefaultShape returns a system of six instances and twelve backend servers: a few dozen processes and ways.
func DefaultShape() Shape {
	return Shape{Domains: 3, Entries: 2, Servers: 4, For: 14 * time.Second, Troubles: 10}
}

// quietTail is how long before the end of a play the last trouble begins: every trouble ends, and what it broke heals.
const quietTail = 5 * time.Second

// makePlan draws the troubles of a seed. Every other seed has operators' work alone half of the time, as a promise about
// that can be checked only while nothing else goes wrong.
func makePlan(seed uint64, shp Shape) []trouble {
	rnd := rand.New(rand.NewPCG(seed, 2))
	trbs := make([]trouble, shp.Troubles)
	calm := seed%2 == 0
	for idx := range trbs {
		trb := trouble{
			kind: kinds[rnd.IntN(len(kinds))], at: time.Second + upTo(rnd, shp.For-quietTail-time.Second),
			lasts: 300*time.Millisecond + upTo(rnd, 3*time.Second), one: rnd.IntN(1 << 16), two: rnd.IntN(1 << 16),
		}
		for calm && trb.at < shp.For/2 && !planned[trb.kind] {
			trb.kind = kinds[rnd.IntN(len(kinds))]
		}
		trbs[idx] = trb
	}
	trbs = append(trbs, drawClosings(seed, shp.Closings)...)
	trbs = append(trbs, drawServerRestarts(seed, shp)...)
	trbs = append(trbs, drawRoomChanges(seed, shp)...)
	trbs = append(trbs, drawUnseenRestarts(seed, shp)...)
	slices.SortFunc(trbs, func(one, two trouble) int { return int(one.at - two.at) })
	return trbs
}

// upTo draws a time below most.
func upTo(rnd *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(rnd.Int64N(int64(most)))
}

// drawClosings draws closings of failure domains, which overlap. They are drawn by themselves: the other troubles of a seed stay what
// they are without them.
func drawClosings(seed uint64, num int) []trouble {
	rnd := rand.New(rand.NewPCG(seed, 3))
	trbs := make([]trouble, num)
	for idx := range trbs {
		trbs[idx] = trouble{
			kind: closeDomain, at: upTo(rnd, 3*time.Second), lasts: closedInForce + time.Second + upTo(rnd, 2*time.Second),
			one: rnd.IntN(1 << 16), two: rnd.IntN(1 << 16),
		}
	}
	return trbs
}

// drawServerRestarts draws crashes of backend servers that start again under their IDs, most of them within the time of a few calls. They are drawn
// by themselves, as the closings are.
func drawServerRestarts(seed uint64, shp Shape) []trouble {
	rnd := rand.New(rand.NewPCG(seed, 4))
	trbs := make([]trouble, shp.ServerRestarts)
	for idx := range trbs {
		lasts := upTo(rnd, 300*time.Millisecond)
		if rnd.IntN(3) == 0 {
			lasts = upTo(rnd, 4*time.Second)
		}
		trbs[idx] = trouble{
			kind: serverRestart, at: time.Second + upTo(rnd, shp.For-quietTail-time.Second), lasts: lasts,
			one: rnd.IntN(1 << 16), two: rnd.IntN(1 << 16),
		}
	}
	return trbs
}

// drawRoomChanges draws rooms that shrink early and grow again before the quiet tail, most of them long enough for starts over the smaller room to
// count. They are drawn by themselves, as the closings are.
func drawRoomChanges(seed uint64, shp Shape) []trouble {
	rnd := rand.New(rand.NewPCG(seed, 5))
	trbs := make([]trouble, shp.RoomChanges)
	for idx := range trbs {
		at := 500*time.Millisecond + upTo(rnd, time.Second)
		trbs[idx] = trouble{
			kind: []kind{roomShrinks, roomShrinksUnseen}[rnd.IntN(2)], at: at, lasts: shp.For - quietTail - at - upTo(rnd, time.Second), one: rnd.IntN(1 << 16), two: rnd.IntN(1 << 16),
		}
	}
	return trbs
}
