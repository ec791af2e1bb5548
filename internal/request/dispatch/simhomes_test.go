package dispatch_test

import (
	"github.com/cespare/xxhash/v2"

	"chestnutstack/internal/request/dispatch"
)

// homesOf assigns each backend server to one of the entry instances of its failure domain, or of all if there are
// none, by rendezvous hashing as process/member does.
func homesOf(servers []dispatch.Server, peers []dispatch.Peer) []dispatch.Home {
	homes := make([]dispatch.Home, 0, len(servers))
	for _, srv := range servers {
		if best := homeOf(srv, peers, true); best != "" {
			homes = append(homes, dispatch.Home{Server: srv.ID, Peer: best})
		} else if best := homeOf(srv, peers, false); best != "" {
			homes = append(homes, dispatch.Home{Server: srv.ID, Peer: best})
		}
	}
	return homes
}

// homeOf returns the peer with the highest hash for the server, with near only among those of its failure domain.
func homeOf(srv dispatch.Server, peers []dispatch.Peer, near bool) dispatch.PeerID {
	var best dispatch.PeerID
	var most uint64
	for _, per := range peers {
		if near && per.FailureDomain != srv.FailureDomain {
			continue
		}
		rnk := mix(xxhash.Sum64String(string(srv.ID)) ^ xxhash.Sum64String(string(per.ID)))
		if best == "" || rnk > most || rnk == most && per.ID < best {
			best, most = per.ID, rnk
		}
	}
	return best
}

// mix mixes the bits of a hash with the finalizer of SplitMix64.
func mix(val uint64) uint64 {
	val = (val ^ val>>30) * 0xbf58476d1ce4e5b9
	val = (val ^ val>>27) * 0x94d049bb133111eb
	return val ^ val>>31
}
