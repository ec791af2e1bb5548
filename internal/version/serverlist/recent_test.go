package serverlist

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an instance that is told of a part of what it lacks and takes that for all: the sender has dropped changes, or knows them from a full
// read, without their offsets.
func TestChangesForAnInstanceThatIsBehind(t *testing.T) {
	add := func(rct *RecentChanges, offs ...int64) {
		for _, off := range offs {
			rct.Add(began, Change{Offset: off, Key: fmt.Sprint("s", off)})
		}
	}
	reread := func(rct *RecentChanges) {
		add(rct, 12)
		rct.HandleReread(began, 20, 30, []Change{{Offset: -1, Key: "a"}, {Offset: 27, Key: "b"}})
		add(rct, 33)
	}
	cases := map[string]struct {
		happens func(rct *RecentChanges)
		offset  int64
		// want are the offsets of the changes that are sent; none if nothing is.
		want   []int64
		reread bool
	}{
		"lacks nothing":                          {happens: func(rct *RecentChanges) { add(rct, 12) }, offset: 13},
		"lacks the last of two changes":          {happens: func(rct *RecentChanges) { add(rct, 12, 15) }, offset: 13, want: []int64{15}},
		"lacks changes before the full read":     {happens: func(rct *RecentChanges) { add(rct, 12) }, offset: 9},
		"lacks what was read again":              {happens: reread, offset: 13, want: []int64{20, 21, 33}, reread: true},
		"lacks all of it and one more":           {happens: reread, offset: 12, want: []int64{12, 20, 21, 33}, reread: true},
		"knows a part of what was read again":    {happens: reread, offset: 24},
		"knows all that was read again":          {happens: reread, offset: 30, want: []int64{33}},
		"sender is behind its own full read":     {happens: func(rct *RecentChanges) { rct.HandleReread(began, 20, 60, []Change{{Key: "a"}}) }, offset: 13},
		"more was read again than was written":   {happens: func(rct *RecentChanges) { rct.HandleReread(began, 20, 21, make([]Change, 2)) }, offset: 13},
		"changes are older than they are kept":   {happens: func(rct *RecentChanges) { add(rct, 12); rct.Add(began.Add(2*recentTime), Change{Offset: 35, Key: "s"}) }, offset: 11},
		"lacks those alone that are not too old": {happens: func(rct *RecentChanges) { add(rct, 12); rct.Add(began.Add(2*recentTime), Change{Offset: 35, Key: "s"}) }, offset: 13, want: []int64{35}},
		"more changes than are kept": {happens: func(rct *RecentChanges) {
			for off := range int64(maxRecent + 5) {
				add(rct, 10+off)
			}
		}, offset: 12},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			rct := NewRecentChanges()
			rct.HandleFullRead(10)
			cse.happens(rct)
			const end = 40
			_, lacking := rct.LackingSince(cse.offset, end)
			chk.Equal(lacking, len(cse.want) > 0)
			if !lacking {
				return
			}
			dig := rct.Since("self", cse.offset, end)
			chk.Equal(dig.Problem(), "")
			chk.Equal(dig.Reread, cse.reread)
			var got []int64
			for _, chg := range dig.Changes {
				got = append(got, chg.Offset)
			}
			chk.Equal(got, cse.want)
		})
	}
}

// Guards against digests that lack what another instance has sent to their writer, and against changes without their offsets in digests.
func TestChangesFromAPeerArePublished(t *testing.T) {
	cases := map[string]struct {
		dig     Digest
		follows bool
		next    int64
		// published is the number of digests that are due after it.
		published int
	}{
		"continues what is known":          {dig: Digest{Reader: "one", From: 20, To: 30, Changes: []Change{{22, "s", nil}}}, follows: true, next: 30, published: 1},
		"begins after what is known":       {dig: Digest{Reader: "one", From: 21, To: 30}, next: 20},
		"is known":                         {dig: Digest{Reader: "one", From: 4, To: 18}, follows: true, next: 20},
		"was read again from here on":      {dig: Digest{Reader: "one", From: 20, To: 30, Reread: true, Changes: []Change{{22, "s", nil}}}, follows: true, next: 30},
		"was read again from before it on": {dig: Digest{Reader: "one", From: 15, To: 30, Reread: true, Changes: []Change{{16, "s", nil}}}, next: 20},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			fol := newTestFollower()
			fol.HandleFullRead(10)
			fol.HandleRead(10, 20)
			chgs, follows := fol.HandlePeerChanges(&cse.dig)
			chk.Equal(follows, cse.follows)
			chk.Equal(fol.KnownTo(), cse.next)
			for _, chg := range chgs {
				fol.HandleChange(chg)
			}
			digs := fol.PendingDigests(began.Add(time.Minute), 0)
			chk.Equal(len(digs), cse.published)
			if len(digs) > 0 {
				chk.Equal(len(digs[0].Changes), len(cse.dig.Changes))
			}
		})
	}
}

// Guards against recent changes that keep the whole read of the list in memory that they came with.
func TestRecentChangesAreCopies(t *testing.T) {
	cases := map[string]func(rct *RecentChanges, chg Change){
		"a change": func(rct *RecentChanges, chg Change) { rct.Add(began, chg) },
		"a change of a full read": func(rct *RecentChanges, chg Change) {
			rct.HandleReread(began, 20, 30, []Change{chg})
		},
	}
	for name, add := range cases {
		t.Run(name, func(t *testing.T) {
			rct := NewRecentChanges()
			rct.HandleFullRead(10)
			body := []byte("value")
			add(rct, Change{Offset: 20, Key: "s", Value: body})
			body[0] = '?'
			dig := rct.Since("self", 15, 40)
			is.New(t).Equal(string(dig.Changes[0].Value), "value")
		})
	}
}
