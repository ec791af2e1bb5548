package succession

import (
	"time"
)

// trouble strikes once, and sometimes again a moment later. Jobs come shortly before it ends, as that is when beliefs change.
func (ply *play) trouble() {
	nod := ply.anyNode()
	dur := 20*time.Millisecond + ply.within(2500*time.Millisecond)
	for range ply.rnd.IntN(3) {
		ply.after(max(0, dur-150*time.Millisecond+ply.within(500*time.Millisecond)), ply.submit)
	}
	switch ply.rnd.IntN(12) {
	case 0, 1:
		ply.note("%s is cut off for %v", nod.domain, dur)
		ply.isolate(nod.domain, dur)
		if ply.rnd.IntN(2) == 0 {
			ply.besideCut(nod.domain)
		}
	case 2:
		oth := ply.anyNode()
		ply.note("way %s to %s is cut for %v", nod.name, oth.name, dur)
		ply.cut(nod.name, oth.name, dur)
	case 3, 4:
		srv := ply.servers[ply.rnd.IntN(len(ply.servers))]
		from, to := nod.name, string(srv.id)
		if ply.rnd.IntN(2) == 0 {
			from, to = to, from
		}
		ply.note("way %s to %s is cut for %v", from, to, dur)
		ply.cut(from, to, dur)
	case 5:
		if !nod.dead {
			nod.stall(dur)
		}
	case 6:
		ply.end(nod, dur)
	case 7, 8:
		ply.lapse(dur)
	case 9:
		srv := ply.servers[ply.rnd.IntN(len(ply.servers))]
		srv.lose = 1 + ply.rnd.IntN(4)
		ply.note("%s loses %d calls", srv.id, srv.lose)
	default:
		ply.force()
	}
	if ply.rnd.IntN(3) == 0 {
		ply.after(ply.within(dur+100*time.Millisecond), ply.trouble)
	}
}

// besideCut has entries of a domain lapse that is cut off, and nodes of either side take its shard over, until new jobs come at the end.
func (ply *play) besideCut(domain string) {
	dur := time.Second + ply.within(3*time.Second)
	ply.isolate(domain, dur)
	ply.after(ply.within(dur/2), func() { ply.lapse(ply.within(2 * dur)) })
	ply.after(ply.within(dur), ply.force)
	for range 4 {
		ply.after(dur-100*time.Millisecond+ply.within(400*time.Millisecond), ply.submit)
	}
}

// force has any node take any shard over, whatever made it do so.
func (ply *play) force() {
	nod := ply.anyNode()
	shds := SortedShards(nod.shards())
	if nod.dead || nod.leaving || len(shds) == 0 || !nod.elc.Ready() {
		return
	}
	shd := shds[ply.rnd.IntN(len(shds))]
	nod.deliver("forced", func() {
		nod.run(func(now time.Time) {
			if nod.ldrs[shd.Name] == nil {
				nod.takeOver(now, shd.Name)
			}
		})
	})
}

func (ply *play) anyNode() *node { return ply.nodes[ply.names[ply.rnd.IntN(len(ply.names))]] }

// isolate cuts a failure domain off from the others and the store.
func (ply *play) isolate(domain string, dur time.Duration) {
	inside, outside := []string{}, []string{storeName}
	add := func(name, dom string) {
		if dom == domain {
			inside = append(inside, name)
		} else {
			outside = append(outside, name)
		}
	}
	for _, name := range ply.names {
		add(name, ply.nodes[name].domain)
	}
	for _, srv := range ply.servers {
		add(string(srv.id), srv.domain)
	}
	for _, one := range inside {
		for _, two := range outside {
			ply.cutBoth(one, two, dur)
		}
	}
}

// lapse removes the entries of some servers for a while.
func (ply *play) lapse(dur time.Duration) {
	for _, srv := range ply.servers {
		if ply.rnd.IntN(4) == 0 {
			continue
		}
		ply.note("entry of %s lapses for %v", srv.id, dur)
		ply.list(srv, false)
		ply.after(dur+ply.within(400*time.Millisecond), func() { ply.list(srv, true) })
	}
}

func (ply *play) list(srv *fakeServer, there bool) {
	ply.offset++
	ply.listed[srv.id] = there
}

// end ends a process by a kill, a loss of power or a planned stop, and starts its next life.
func (ply *play) end(nod *node, dur time.Duration) {
	if nod.dead || nod.leaving {
		return
	}
	how := ply.rnd.IntN(3)
	if how == 2 {
		ply.note("%s stops", nod.id)
		nod.leaving = true
		nod.elc.SetLeaving()
		nod.nudge()
	}
	finish := func() {
		ply.note("%s ends, how %d", nod.id, how)
		if how == 2 {
			nod.run(func(time.Time) { nod.deskDo(nod.dsk.GiveUp()) })
		}
		nod.dead, nod.dark = true, how == 1
		for _, cal := range sortedKeys(nod.calls) {
			if how != 1 {
				nod.calls[cal].broken()
			}
		}
		ply.after(100*time.Millisecond+dur/2, func() { ply.startNode(nod.name, nod.domain) })
	}
	if how == 2 {
		ply.after(dur, finish)
		return
	}
	finish()
}
