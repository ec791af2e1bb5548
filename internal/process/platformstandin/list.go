package platformstandin

import (
	"slices"
	"strings"
	"time"

	"chestnutstack/internal/version/platformpb"
)

// change is one edit of the list of instances.
type change struct {
	at       time.Time
	instance *platformpb.Instance
	remove   bool
}

// list remembers how the list of instances came about, so that it can be shown as it was.
type list struct {
	base    map[string]*platformpb.Instance
	changes []change
}

func newList(instances []*platformpb.Instance) *list {
	lst := &list{base: make(map[string]*platformpb.Instance, len(instances))}
	for _, ins := range instances {
		lst.base[ins.GetId()] = ins
	}
	return lst
}

func (lst *list) set(now time.Time, ins *platformpb.Instance, remove bool) {
	lst.changes = append(lst.changes, change{at: now, instance: ins, remove: remove})
	lst.fold(now)
}

// fold moves changes into the base that no lag can hide any more.
func (lst *list) fold(now time.Time) {
	cut := 0
	for cut < len(lst.changes) {
		old := now.Sub(lst.changes[cut].at) > maxListLag
		if !old && len(lst.changes)-cut <= maxListChanges {
			break
		}
		lst.changes[cut].apply(lst.base)
		cut++
	}
	lst.changes = slices.Delete(lst.changes, 0, cut)
}

func (chg change) apply(instances map[string]*platformpb.Instance) {
	if chg.remove {
		delete(instances, chg.instance.GetId())
		return
	}
	instances[chg.instance.GetId()] = chg.instance
}

// size returns how many instances the list may hold at most.
func (lst *list) size() int { return len(lst.base) + len(lst.changes) }

// asOf returns the list as it was at a time, ordered by id.
func (lst *list) asOf(when time.Time) []*platformpb.Instance {
	seen := make(map[string]*platformpb.Instance, len(lst.base))
	for _, ins := range lst.base {
		seen[ins.GetId()] = ins
	}
	for _, chg := range lst.changes {
		if chg.at.After(when) {
			break
		}
		chg.apply(seen)
	}
	out := make([]*platformpb.Instance, 0, len(seen))
	for _, ins := range seen {
		out = append(out, ins)
	}
	slices.SortFunc(out, func(one, two *platformpb.Instance) int {
		return strings.Compare(one.GetId(), two.GetId())
	})
	return out
}
