package subset

import (
	"container/list"
	"maps"
	"slices"
	"time"

	"chestnutstack/internal/request/dispatch"
)

const (
	defaultBorrowed = 256
	defaultIdle     = 2 * time.Minute
)

// Config holds the bounds of a Subset; the zero value of a field stands for its default.
type Config struct {
	// Borrowed bounds the sessions to backend servers whose home is elsewhere.
	Borrowed int
	// Idle is how long such a session is kept without use.
	Idle time.Duration
}

// Actions is what the caller has to do, in this order.
type Actions struct {
	Disconnect []dispatch.ServerID
	Connect    []dispatch.ServerID
}

// member is a backend server to which a session is kept.
type member struct {
	id   dispatch.ServerID
	home bool
	// Uses that have not ended.
	busy int
	used time.Time
	// Place among the borrowed ones, the most recently used first; nil for a home.
	place *list.Element
}

// Subset is the set of backend servers to which an entry instance keeps sessions.
type Subset struct {
	cfg      Config
	members  map[dispatch.ServerID]*member
	borrowed *list.List
}

// New returns an empty set.
func New(cfg Config) *Subset {
	if cfg.Borrowed == 0 {
		cfg.Borrowed = defaultBorrowed
	}
	if cfg.Idle == 0 {
		cfg.Idle = defaultIdle
	}
	return &Subset{cfg: cfg, members: map[dispatch.ServerID]*member{}, borrowed: list.New()}
}

// Len returns the number of sessions that are kept.
func (sub *Subset) Len() int { return len(sub.members) }

// Has reports whether a session to the backend server is kept.
func (sub *Subset) Has(id dispatch.ServerID) bool { return sub.members[id] != nil }

// SetHomes replaces the set of backend servers whose home this entry instance is. A former home is
// kept as a borrowed one: its tasks still run, and the next list may bring it back. The caller must
// not take an empty or shrunken list of an outage for the truth.
func (sub *Subset) SetHomes(now time.Time, homes []dispatch.ServerID) Actions {
	var act Actions
	current := make(map[dispatch.ServerID]bool, len(homes))
	for _, id := range homes {
		current[id] = true
		sub.makeHome(now, id, &act)
	}
	for _, id := range slices.Sorted(maps.Keys(sub.members)) {
		if mem := sub.members[id]; mem.home && !current[id] {
			mem.home = false
			mem.used = now
			mem.place = sub.borrowed.PushFront(mem)
		}
	}
	for sub.borrowed.Len() > sub.cfg.Borrowed && sub.evict(&act) {
	}
	return act
}

func (sub *Subset) makeHome(now time.Time, id dispatch.ServerID, act *Actions) {
	mem := sub.members[id]
	if mem == nil {
		mem = &member{id: id, used: now}
		sub.members[id] = mem
		act.Connect = append(act.Connect, id)
	}
	if mem.place != nil {
		sub.borrowed.Remove(mem.place)
		mem.place = nil
	}
	mem.home = true
}

// Begin records that a loan of a backend server's slots is to be used, and keeps a session to it
// until as many calls of End. It reports false, and nothing is kept, if all borrowed sessions that
// the bound allows are in use.
func (sub *Subset) Begin(now time.Time, id dispatch.ServerID) (Actions, bool) {
	var act Actions
	mem := sub.members[id]
	if mem == nil {
		if sub.borrowed.Len() >= sub.cfg.Borrowed && !sub.evict(&act) {
			return Actions{}, false
		}
		mem = &member{id: id}
		mem.place = sub.borrowed.PushFront(mem)
		sub.members[id] = mem
		act.Connect = append(act.Connect, id)
	}
	mem.busy++
	sub.touch(now, mem)
	return act, true
}

// End records that a use has ended.
func (sub *Subset) End(now time.Time, id dispatch.ServerID) Actions {
	var act Actions
	mem := sub.members[id]
	if mem == nil || mem.busy == 0 {
		return act
	}
	mem.busy--
	sub.touch(now, mem)
	// SetHomes may have left more than the bound allows because all were in use.
	if sub.borrowed.Len() > sub.cfg.Borrowed {
		sub.evict(&act)
	}
	return act
}

// Gone records that a backend server left the list of instances. Its session is closed once no task
// waits on it any more.
func (sub *Subset) Gone(id dispatch.ServerID) Actions {
	var act Actions
	mem := sub.members[id]
	if mem == nil {
		return act
	}
	if mem.busy > 0 {
		sub.demote(mem)
		return act
	}
	sub.remove(mem, &act)
	return act
}

// demote makes a member the next one to be closed.
func (sub *Subset) demote(mem *member) {
	if mem.place == nil {
		mem.home = false
		mem.place = sub.borrowed.PushBack(mem)
	}
	mem.used = time.Time{}
	sub.borrowed.MoveToBack(mem.place)
}

// NextWake returns when Wake is to be called, or the zero time if nothing is idle.
func (sub *Subset) NextWake() time.Time {
	for elm := sub.borrowed.Back(); elm != nil; elm = elm.Prev() {
		if mem := memberAt(elm); mem.busy == 0 {
			return mem.used.Add(sub.cfg.Idle)
		}
	}
	return time.Time{}
}

// Wake closes borrowed sessions that were not used for Config.Idle.
func (sub *Subset) Wake(now time.Time) Actions {
	var act Actions
	for elm := sub.borrowed.Back(); elm != nil; {
		mem := memberAt(elm)
		elm = elm.Prev()
		if mem.busy > 0 {
			continue
		}
		if mem.used.Add(sub.cfg.Idle).After(now) {
			break
		}
		sub.remove(mem, &act)
	}
	return act
}

func (sub *Subset) touch(now time.Time, mem *member) {
	mem.used = now
	if mem.place != nil {
		sub.borrowed.MoveToFront(mem.place)
	}
}

// evict closes the borrowed session that was used least recently and that no task waits on.
func (sub *Subset) evict(act *Actions) bool {
	for elm := sub.borrowed.Back(); elm != nil; elm = elm.Prev() {
		if mem := memberAt(elm); mem.busy == 0 {
			sub.remove(mem, act)
			return true
		}
	}
	return false
}

func (sub *Subset) remove(mem *member, act *Actions) {
	if mem.place != nil {
		sub.borrowed.Remove(mem.place)
	}
	delete(sub.members, mem.id)
	act.Disconnect = append(act.Disconnect, mem.id)
}

func memberAt(elm *list.Element) *member {
	mem, _ := elm.Value.(*member)
	return mem
}
