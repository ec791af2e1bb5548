package limit

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutstack/internal/request/dispatch"
)

// slotCount is the number of slots that all units of all limits are mapped to. One table serves
// every limit, so that a change of the peers costs the same whatever the number of limits: unit u
// of a limit is in slot (hash of the limit + u) modulo slotCount.
const slotCount = 4096

// noHome stands for the home of a slot while there are no peers.
const noHome = -1

// table says which peer is the home of each slot, and which own slots may be used.
type table struct {
	peers []Peer
	// homes has, by slot, an index into peers.
	homes [slotCount]int16
	// heldUntil has, by own slot, when it may be used.
	heldUntil [slotCount]time.Time
	// from has, by own slot that is held, the peer that had it before.
	from [slotCount]dispatch.PeerID
	// former are slots that were this entry instance's own until lately.
	former [slotCount]bool
	// usable counts the usable own slots before each slot, owned the own ones.
	usable [slotCount + 1]int32
	owned  [slotCount + 1]int32
	// nextFree is the earliest end of a hold; zero if nothing is held.
	nextFree time.Time
}

// order ranks peers by slot, by rendezvous hash; the first is the home.
type order struct {
	peers  []Peer
	hashes []uint64
	buf    [16]byte
}

func newOrder(peers []Peer) *order {
	ord := &order{peers: peers, hashes: make([]uint64, len(peers))}
	for idx := range peers {
		ord.hashes[idx] = xxhash.Sum64String(string(peers[idx].ID))
	}
	return ord
}

func (ord *order) score(slot, idx int) uint64 {
	binary.LittleEndian.PutUint64(ord.buf[:8], ord.hashes[idx])
	binary.LittleEndian.PutUint64(ord.buf[8:], uint64(slot))
	return xxhash.Sum64(ord.buf[:])
}

// after returns the peer that comes after one in the order of a slot, "" if it is the last.
func (ord *order) after(slot int, id dispatch.PeerID) dispatch.PeerID {
	place := slices.IndexFunc(ord.peers, func(per Peer) bool { return per.ID == id })
	own := ^uint64(0)
	if place >= 0 {
		own = ord.score(slot, place)
	}
	best, next := uint64(0), dispatch.PeerID("")
	for idx := range ord.peers {
		if scr := ord.score(slot, idx); idx != place && scr < own && (next == "" || scr > best) {
			best, next = scr, ord.peers[idx].ID
		}
	}
	return next
}

// computeHomes fills homes with the first of each slot.
func computeHomes(homes *[slotCount]int16, peers []Peer) {
	ord := newOrder(peers)
	for slot := range homes {
		best, home := uint64(0), int16(noHome)
		for idx := range peers {
			if scr := ord.score(slot, idx); home < 0 || scr > best {
				best, home = scr, int16(idx)
			}
		}
		homes[slot] = home
	}
}

func (tbl *table) home(slot int) dispatch.PeerID {
	idx := tbl.homes[slot]
	if idx < 0 {
		return ""
	}
	return tbl.peers[idx].ID
}

// recount renews the sums after homes or holds changed, or time passed a hold's end.
func (tbl *table) recount(now time.Time, self dispatch.PeerID) {
	tbl.nextFree = time.Time{}
	for slot := range slotCount {
		tbl.owned[slot+1], tbl.usable[slot+1] = tbl.owned[slot], tbl.usable[slot]
		if tbl.home(slot) != self {
			continue
		}
		tbl.owned[slot+1]++
		until := tbl.heldUntil[slot]
		if !now.Before(until) {
			tbl.usable[slot+1]++
			continue
		}
		if tbl.nextFree.IsZero() || until.Before(tbl.nextFree) {
			tbl.nextFree = until
		}
	}
}

// sum returns how many of a limit's units are counted by prefix sums over the slots.
func sum(prefix *[slotCount + 1]int32, offset int, units uint32) int {
	whole, rest := int(units/slotCount), int(units%slotCount)
	total := whole * int(prefix[slotCount])
	end := offset + rest
	if end <= slotCount {
		return total + int(prefix[end]-prefix[offset])
	}
	return total + int(prefix[slotCount]-prefix[offset]) + int(prefix[end-slotCount])
}

func offsetOf(key Key) int {
	dig := xxhash.New()
	_, _ = dig.WriteString(key.Class) // A hash's writes don't fail.
	_, _ = dig.Write([]byte{0, byte(key.Kind)})
	_, _ = dig.WriteString(key.Team)
	return int(dig.Sum64() % slotCount)
}

func (tbl *table) has(id dispatch.PeerID) bool {
	return slices.ContainsFunc(tbl.peers, func(per Peer) bool { return per.ID == id })
}

func (tbl *table) incarnation(id dispatch.PeerID) string {
	for _, per := range tbl.peers {
		if per.ID == id {
			return per.Incarnation
		}
	}
	return ""
}
