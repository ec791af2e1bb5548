package member

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"

	"chestnutstack/internal/request/dispatch"
)

// candidate is an entry instance that may be a home.
type candidate struct {
	id   dispatch.PeerID
	hash uint64
}

func newCandidate(id string) candidate {
	return candidate{id: dispatch.PeerID(id), hash: xxhash.Sum64String(id)}
}

// score is the rendezvous weight of a candidate for a key; the highest wins. It depends on nothing
// but the two, so that one that joins or leaves moves only what it gains or had.
func score(can candidate, key uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], can.hash)
	binary.LittleEndian.PutUint64(buf[8:], key)
	return xxhash.Sum64(buf[:])
}

func rendezvous(cans []candidate, key uint64) dispatch.PeerID {
	var best uint64
	var home dispatch.PeerID
	for _, can := range cans {
		scr := score(can, key)
		if home == "" || scr > best || scr == best && can.id < home {
			best, home = scr, can.id
		}
	}
	return home
}

// homeCache keeps homes, by failure domain, for as long as the candidates of the domain are the
// same: most changes of the view touch no candidate.
type homeCache struct {
	domains map[string]*domainHomes
}

type domainHomes struct {
	candidates uint64
	homes      map[string]dispatch.PeerID
}

func newHomeCache() homeCache {
	return homeCache{domains: make(map[string]*domainHomes)}
}

func (cch homeCache) home(server, domain string, cans []candidate) dispatch.PeerID {
	dom := cch.domains[domain]
	if dom == nil {
		dom = &domainHomes{}
		cch.domains[domain] = dom
	}
	if sum := checksum(cans); dom.homes == nil || dom.candidates != sum {
		dom.candidates = sum
		dom.homes = make(map[string]dispatch.PeerID)
	}
	hom, ok := dom.homes[server]
	if !ok {
		hom = rendezvous(cans, xxhash.Sum64String(server))
		dom.homes[server] = hom
	}
	return hom
}

func checksum(cans []candidate) uint64 {
	var sum uint64
	for _, can := range cans {
		sum ^= can.hash
	}
	return sum
}

// candidatesFor returns who shares the servers of a failure domain: its own live entry instances,
// else those of the nearest domain that has any, else its leaving ones.
func (trk *Tracker) candidatesFor(domain string, live, leaving map[string][]candidate) []candidate {
	if cans := live[domain]; len(cans) > 0 {
		return cans
	}
	for _, near := range trk.nearest(domain, live) {
		if cans := live[near]; len(cans) > 0 {
			return cans
		}
	}
	return leaving[domain]
}

// nearest orders the other domains: as the settings say, the rest by a hash that every entry
// instance computes alike, so that the servers of several lost domains don't all fall to one.
func (trk *Tracker) nearest(domain string, live map[string][]candidate) []string {
	named := trk.cfg.Near[domain]
	skip := map[string]bool{domain: true}
	for _, nam := range named {
		skip[nam] = true
	}
	var rest []string
	for nam := range live {
		if !skip[nam] {
			rest = append(rest, nam)
		}
	}
	key := xxhash.Sum64String(domain)
	sort.Slice(rest, func(one, two int) bool {
		return score(newCandidate(rest[one]), key) > score(newCandidate(rest[two]), key)
	})
	return append(append([]string(nil), named...), rest...)
}
