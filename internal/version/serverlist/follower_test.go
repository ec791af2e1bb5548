package serverlist

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var began = time.Unix(1000, 0)

func newTestFollower() *Follower { return NewFollower(DefaultConfig("self"), began) }

func TestHandleDigest(t *testing.T) {
	cases := map[string]struct {
		dig     Digest
		changes int
		ok      bool
		next    int64
	}{
		"goes on where the knowledge ends":      {Digest{Reader: "one", From: 10, To: 14, Changes: []Change{{12, "s", nil}}}, 1, true, 14},
		"is known already":                      {Digest{Reader: "one", From: 4, To: 8, Changes: []Change{{5, "s", nil}}}, 0, true, 10},
		"is known in part":                      {Digest{Reader: "one", From: 4, To: 12, Changes: []Change{{5, "s", nil}, {11, "s", nil}}}, 1, true, 12},
		"one before it is missing":              {Digest{Reader: "one", From: 11, To: 12}, 0, false, 10},
		"an older one comes late, with changes": {Digest{Reader: "one", From: 0, To: 10, Changes: []Change{{9, "s", nil}}}, 0, true, 10},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			fol := newTestFollower()
			fol.HandleFullRead(10)
			chgs, ok := fol.HandleDigest(began, &cse.dig)
			chk.Equal(ok, cse.ok)
			chk.Equal(len(chgs), cse.changes)
			chk.Equal(fol.NextOffset(), cse.next)
		})
	}
}

func TestReaderSelection(t *testing.T) {
	cases := map[string]struct {
		before  int
		quiet   time.Duration
		reads   bool
		digests int
	}{
		"the first reads and writes":                           {before: 0, reads: true, digests: 1},
		"another one leaves it to the first":                   {before: 3},
		"nothing has come for a while, the second in its turn": {before: 1, quiet: 1700 * time.Millisecond, reads: true, digests: 1},
		"the fourth waits for those before it to write":        {before: 3, quiet: 1700 * time.Millisecond, reads: true},
		"the last ones read for themselves only":               {before: 90, quiet: time.Hour, reads: true},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			fol := newTestFollower()
			fol.HandleFullRead(10)
			fol.HandleRead(10, 12)
			fol.HandleRead(12, 14)
			fol.HandleChange(Change{Offset: 13, Key: "s"})
			now := began.Add(cse.quiet)
			chk.Equal(fol.ReadDue(now, cse.before), cse.reads)
			chk.Equal(len(fol.PendingDigests(now, cse.before)), cse.digests)
		})
	}
}

// Two instances that read the list at the same moments take each other's digests for no news, and both read it for ever.
func TestSecondReaderStops(t *testing.T) {
	chk := is.New(t)
	fol := newTestFollower()
	fol.HandleFullRead(10)
	now := began.Add(time.Minute)
	for from := int64(10); from < 20; from += 2 {
		chk.True(fol.ReadDue(now, 1) == (from == 10))
		fol.HandleRead(from, from+2)
		fol.HandleDigest(now, &Digest{Reader: "first", From: from, To: from + 2})
		now = now.Add(400 * time.Millisecond)
	}
	// One that falls behind relieves nobody.
	fol.HandleRead(20, 40)
	fol.HandleRead(40, 60)
	now = now.Add(time.Minute)
	fol.HandleDigest(now, &Digest{Reader: "first", From: 20, To: 30})
	chk.True(fol.ReadDue(now, 1))
}

// A change between two pages of a full read is no change to who has read it, and is missing for all others.
func TestFirstReadAfterFullReadIsNotPublished(t *testing.T) {
	chk := is.New(t)
	fol := newTestFollower()
	fol.HandleFullRead(10)
	fol.HandleRead(10, 20)
	chk.Equal(len(fol.PendingDigests(began, 0)), 0)
	fol.HandleRead(20, 21)
	digs := fol.PendingDigests(began, 0)
	chk.Equal(len(digs), 1)
	chk.Equal(digs[0].From, int64(20))
}

// A digest that is not written is tried again with the next read, and nothing of it is lost.
func TestUnwrittenDigestIsRetried(t *testing.T) {
	chk := is.New(t)
	fol := newTestFollower()
	fol.HandleFullRead(10)
	fol.HandleRead(10, 11)
	fol.HandleRead(11, 13)
	fol.HandleChange(Change{Offset: 12, Key: "one"})
	chk.Equal(len(fol.PendingDigests(began, 0)), 1)
	fol.HandleRead(13, 15)
	fol.HandleChange(Change{Offset: 14, Key: "two"})
	digs := fol.PendingDigests(began, 0)
	chk.Equal(digs[0].From, int64(11))
	chk.Equal(len(digs[0].Changes), 2)
	fol.HandlePublished(began, &digs[0])
	chk.Equal(len(fol.PendingDigests(began, 0)), 0)
}

// Digests that are still to be written lose their changes when the first one is.
func TestManyChangesGoIntoSeveralDigests(t *testing.T) {
	chk := is.New(t)
	fol := newTestFollower()
	fol.HandleFullRead(0)
	fol.HandleRead(0, 0)
	fol.HandleRead(0, 1000)
	for num := range int64(1000) {
		fol.HandleChange(Change{Offset: num, Key: fmt.Sprint("server-", num)})
	}
	all := 0
	for _, dig := range fol.PendingDigests(began, 0) {
		chk.Equal(dig.Problem(), "")
		chk.Equal(dig.From, int64(all))
		all += len(dig.Changes)
		fol.HandlePublished(began, &dig)
	}
	chk.Equal(all, 1000)
}

func TestProblem(t *testing.T) {
	cases := map[string]struct {
		dig  Digest
		fine bool
	}{
		"nothing has changed":      {Digest{Reader: "one", From: 3, To: 9}, true},
		"changes in order":         {Digest{Reader: "one", From: 3, To: 9, Changes: []Change{{3, "a", nil}, {8, "b", nil}}}, true},
		"by nobody":                {Digest{From: 3, To: 9}, false},
		"goes back":                {Digest{Reader: "one", From: 9, To: 3}, false},
		"negative":                 {Digest{Reader: "one", From: -1, To: 3}, false},
		"jumps far ahead":          {Digest{Reader: "one", From: 3, To: 1 << 60}, false},
		"a change from before it":  {Digest{Reader: "one", From: 3, To: 9, Changes: []Change{{2, "a", nil}}}, false},
		"a change from after it":   {Digest{Reader: "one", From: 3, To: 9, Changes: []Change{{9, "a", nil}}}, false},
		"changes out of order":     {Digest{Reader: "one", From: 3, To: 9, Changes: []Change{{5, "a", nil}, {4, "b", nil}}}, false},
		"a change without a name":  {Digest{Reader: "one", From: 3, To: 9, Changes: []Change{{5, "", nil}}}, false},
		"two changes at one place": {Digest{Reader: "one", From: 3, To: 9, Changes: []Change{{5, "a", nil}, {5, "b", nil}}}, false},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(cse.dig.Problem() == "", cse.fine) })
	}
}

// cluster is a list of servers with some instances that follow it, and lose digests.
type cluster struct {
	log      []Change
	fols     []*Follower
	known    []map[string]string
	digests  []Digest
	consumed []int
}

func (cls *cluster) apply(num int, chg *Change) bool {
	was, had := cls.known[num][chg.Key]
	if chg.Value == nil {
		delete(cls.known[num], chg.Key)
		return had
	}
	cls.known[num][chg.Key] = string(chg.Value)
	return !had || was != string(chg.Value)
}

func (cls *cluster) read(num int) {
	fol := cls.fols[num]
	from, end := fol.NextOffset(), int64(len(cls.log))
	if from < 0 {
		// The pages are of different times: what is read is newer than the place that is told.
		cls.known[num] = state(cls.log)
		fol.HandleFullRead(max(0, end-2))
		return
	}
	known := fol.HandleRead(from, end)
	for idx := from + int64(known); idx < end; idx++ {
		if cls.apply(num, &cls.log[idx]) {
			fol.HandleChange(cls.log[idx])
		}
	}
}

func state(log []Change) map[string]string {
	stt := map[string]string{}
	for _, chg := range log {
		if chg.Value == nil {
			delete(stt, chg.Key)
		} else {
			stt[chg.Key] = string(chg.Value)
		}
	}
	return stt
}

// Whoever reads and writes, and whichever digests are lost or come late, an instance that has followed the list to its end knows what
// the list says.
func TestFollowersAgreeWithTheList(t *testing.T) {
	rapid.Check(t, func(rpd *rapid.T) {
		const instances = 3
		cls := &cluster{consumed: make([]int, instances)}
		for num := range instances {
			cls.fols = append(cls.fols, NewFollower(DefaultConfig(fmt.Sprint("instance-", num)), began))
			cls.known = append(cls.known, map[string]string{})
		}
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(rpd, "seed"), 1))
		now := began
		for range 200 {
			now = now.Add(time.Duration(rnd.IntN(400)) * time.Millisecond)
			cls.step(rnd, now)
		}
		end := int64(len(cls.log))
		for num, fol := range cls.fols {
			for fol.NextOffset() < end {
				cls.read(num)
			}
			if !maps.Equal(cls.known[num], state(cls.log)) {
				rpd.Fatalf("instance %d knows %v, the list says %v", num, cls.known[num], state(cls.log))
			}
		}
	})
}

func (cls *cluster) step(rnd *rand.Rand, now time.Time) {
	num := rnd.IntN(len(cls.fols))
	fol := cls.fols[num]
	switch rnd.IntN(5) {
	case 0, 1:
		chg := Change{Offset: int64(len(cls.log)), Key: fmt.Sprint("server-", rnd.IntN(4))}
		if rnd.IntN(4) > 0 {
			chg.Value = fmt.Append(nil, rnd.IntN(2))
		}
		cls.log = append(cls.log, chg)
	case 2:
		cls.read(num)
	case 3:
		for _, dig := range fol.PendingDigests(now, rnd.IntN(3)) {
			cls.digests = append(cls.digests, dig)
			if rnd.IntN(4) > 0 { // Else the answer is lost.
				fol.HandlePublished(now, &dig)
			}
		}
	case 4:
		cls.consume(num, now, rnd)
	}
}

func (cls *cluster) consume(num int, now time.Time, rnd *rand.Rand) {
	if rnd.IntN(20) == 0 {
		cls.fols[num].Reset()
		return
	}
	if cls.consumed[num] >= len(cls.digests) {
		return
	}
	dig := cls.digests[cls.consumed[num]]
	cls.consumed[num]++
	chgs, _ := cls.fols[num].HandleDigest(now, &dig)
	for idx := range chgs {
		cls.apply(num, &chgs[idx])
	}
}
