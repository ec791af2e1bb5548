package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"chestnutstack/internal/connection/member"
	"chestnutstack/internal/connection/peer"
	"chestnutstack/internal/process/metrics"
	"chestnutstack/internal/version/platform"
)

const (
	// listInterval is how often the platform's list is read. Each read is two wasted messages, and
	// what is urgent arrives by heartbeats and by direct evidence.
	listInterval = 4 * time.Second
	// listRetry is the pause after a read that failed, or that came before there was a view.
	listRetry = time.Second
)

// runList reads the platform's list again and again; the pauses differ between instances, so that
// they don't all ask at once when the platform is back.
func (vie *view) runList(ctx context.Context) error {
	rnd := rand.New(rand.NewPCG(vie.ins.cfg.Seed, vie.ins.cfg.Seed+3))
	for ctx.Err() == nil {
		pause := listRetry
		if vie.readList(ctx) {
			pause = listInterval
		}
		sleep(ctx, pause/2+time.Duration(rnd.Int64N(int64(pause))))
	}
	return nil
}

// readList reads the list once and reports whether that was enough for a while.
func (vie *view) readList(ctx context.Context) bool {
	vie.ins.metrics.Count(metrics.List, 2)
	raw, err := vie.lst.Instances(ctx)
	if err == nil {
		vie.listed(toMembers(raw), true)
		return len(raw) > 0
	}
	vie.ins.log.Warn().Err(err).Msg("list of instances not read")
	vie.note(func(now time.Time, trk *member.Tracker) { trk.ListFailed(now) })
	if lst := vie.askSeeds(ctx); lst != nil {
		vie.listed(lst, false)
	}
	return false
}

func (vie *view) listed(lst []member.Instance, fromPlatform bool) {
	vie.mu.Lock()
	vie.last = lst
	vie.fromPlatform = vie.fromPlatform || fromPlatform
	vie.mu.Unlock()
	vie.note(func(now time.Time, trk *member.Tracker) { trk.ListRead(now, lst) })
}

// askSeeds asks peers for the list that they last read. Only an instance that has never read it does, again and again:
// it started while the platform was out of reach, and would serve nobody until the platform is back. Peers that have just
// started themselves know little, and the instance may be among its own seeds; the list with most others is taken.
func (vie *view) askSeeds(ctx context.Context) []member.Instance {
	vie.mu.Lock()
	known := vie.fromPlatform
	vie.mu.Unlock()
	if known {
		return nil
	}
	var most []member.Instance
	others := 0
	for _, adr := range vie.ins.cfg.SeedPeers {
		lst, err := vie.ins.peers.PoolList(ctx, peer.Target{Address: adr})
		if err != nil {
			vie.ins.log.Debug().Err(err).Str("seed", adr).Msg("seed tells no list of instances")
			continue
		}
		if num := vie.countOthers(lst); num > others {
			most, others = lst, num
		}
	}
	return most
}

// countOthers returns how many instances of a list are not this one.
func (vie *view) countOthers(lst []member.Instance) int {
	num := 0
	for idx := range lst {
		if lst[idx].ID != vie.self.ID {
			num++
		}
	}
	return num
}

// poolList returns the list for a peer that can't read it. This instance is a part of it, also while the list that it last read is from
// before the platform listed it.
func (vie *view) poolList() []member.Instance {
	vie.mu.Lock()
	defer vie.mu.Unlock()
	isSelf := func(ins member.Instance) bool { return ins.ID == vie.self.ID }
	if slices.ContainsFunc(vie.last, isSelf) {
		return vie.last
	}
	return append(slices.Clip(vie.last), vie.self)
}

func toMembers(lst []platform.Instance) []member.Instance {
	out := make([]member.Instance, 0, len(lst))
	for _, ent := range lst {
		mem := member.Instance{
			ID:            ent.ID,
			Incarnation:   ent.Incarnation,
			Kind:          member.KindServer,
			Address:       ent.Address,
			PeerAddress:   ent.PeerAddress,
			FailureDomain: ent.FailureDomain,
			Rack:          ent.Rack,
			Worker:        ent.Worker,
			Leaving:       ent.Leaving,
			Slots:         ent.Slots,
			Capacity:      ent.Capacity,
		}
		switch ent.Kind {
		case platform.KindEntry:
			mem.Kind = member.KindEntry
		case platform.KindBackendServer:
		default:
			// A kind that a later platform may have is nothing that this version can use.
			continue
		}
		out = append(out, mem)
	}
	return out
}
