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

// testBound gives reads each 0.4 s and a timeout of 1.2 s.
const testBound = 2 * time.Second

func newTestFollower() *Follower { return NewFollower(NewConfig("self", testBound), began) }

func TestHandleDigest(t *testing.T) {
	cases := map[string]struct {
		dig     Digest
		changes int
		ok      bool
		next    int64
	}{
		"begins at the next offset":              {Digest{Reader: "one", From: 10, To: 14, Changes: []Change{{12, "s", nil}}}, 1, true, 14},
		"known already":                          {Digest{Reader: "one", From: 4, To: 8, Changes: []Change{{5, "s", nil}}}, 0, true, 10},
		"known in part":                          {Digest{Reader: "one", From: 4, To: 12, Changes: []Change{{5, "s", nil}, {11, "s", nil}}}, 1, true, 12},
		"a digest before it is missing":          {Digest{Reader: "one", From: 11, To: 12}, 0, false, 10},
		"known already, ends at the next offset": {Digest{Reader: "one", From: 0, To: 10, Changes: []Change{{9, "s", nil}}}, 0, true, 10},
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
		rank    int
		quiet   time.Duration
		reads   bool
		digests int
	}{
		"the first one reads and publishes":                 {rank: 0, reads: true, digests: 1},
		"another one relies on the first":                   {rank: 3},
		"no digests for 1.7 s, the second one takes over":   {rank: 1, quiet: 1700 * time.Millisecond, reads: true, digests: 1},
		"no digests for 1.7 s, the fourth one only reads":   {rank: 3, quiet: 1700 * time.Millisecond, reads: true},
		"beyond the substitutes, reads but never publishes": {rank: 90, quiet: time.Hour, reads: true},
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
			chk.Equal(fol.ReadDue(now, cse.rank), cse.reads)
			chk.Equal(len(fol.PendingDigests(now, cse.rank)), cse.digests)
		})
	}
}

// Guards against two instances that read the list at the same moments and both go on for ever, as neither gets anything new from the
// digests of the other.
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
	// A reader that falls behind does not stop the second one.
	fol.HandleRead(20, 40)
	fol.HandleRead(40, 60)
	now = now.Add(time.Minute)
	fol.HandleDigest(now, &Digest{Reader: "first", From: 20, To: 30})
	chk.True(fol.ReadDue(now, 1))
}

// Guards against a change that no digest has: one between two pages of a full read is known to the reader from that read, so the next
// read doesn't count it as a change.
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

// Guards against changes lost with a digest whose write failed: the next one has to begin at the same offset and have them too.
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

// Guards against pending digests that share memory with the follower's changes: publishing the first one then removes changes from the
// others.
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
		"no changes":                {Digest{Reader: "one", From: 3, To: 9}, true},
		"changes in order":          {Digest{Reader: "one", From: 3, To: 9, Changes: []Change{{3, "a", nil}, {8, "b", nil}}}, true},
		"no reader":                 {Digest{From: 3, To: 9}, false},
		"ends before it begins":     {Digest{Reader: "one", From: 9, To: 3}, false},
		"negative offset":           {Digest{Reader: "one", From: -1, To: 3}, false},
		"too many records":          {Digest{Reader: "one", From: 3, To: 1 << 60}, false},
		"a change before its range": {Digest{Reader: "one", From: 3, To: 9, Changes: []Change{{2, "a", nil}}}, false},
		"a change after its range":  {Digest{Reader: "one", From: 3, To: 9, Changes: []Change{{9, "a", nil}}}, false},
		"changes out of order":      {Digest{Reader: "one", From: 3, To: 9, Changes: []Change{{5, "a", nil}, {4, "b", nil}}}, false},
		"a change without a key":    {Digest{Reader: "one", From: 3, To: 9, Changes: []Change{{5, "", nil}}}, false},
		"two changes at one offset": {Digest{Reader: "one", From: 3, To: 9, Changes: []Change{{5, "a", nil}, {5, "b", nil}}}, false},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(cse.dig.Problem() == "", cse.fine) })
	}
}

// cluster is a list of servers, the topic of digests, and some instances that follow both.
type cluster struct {
	log  []Change
	fols []*Follower
	// known has what each instance knows of the list, recent its recent changes.
	known   []map[string]string
	recent  []*RecentChanges
	digests []Digest
	// consumed is how many of the digests each instance has read.
	consumed []int
	// sent are changes that instances have sent others and that have not come there yet.
	sent []sentChanges
}

// sentChanges are changes on their way to an instance.
type sentChanges struct {
	to  int
	dig Digest
}

// apply has an instance take in a record and reports whether that changed what it knew.
func (cls *cluster) apply(num int, chg *Change) bool {
	was, had := cls.known[num][chg.Key]
	if chg.Value == nil {
		delete(cls.known[num], chg.Key)
		return had
	}
	cls.known[num][chg.Key] = string(chg.Value)
	return !had || was != string(chg.Value)
}

// read has an instance read the list from its next offset on, or in full.
func (cls *cluster) read(num int, now time.Time) {
	fol := cls.fols[num]
	from, end := fol.NextOffset(), int64(len(cls.log))
	if from < 0 {
		// The pages of a full read are read at different times: their content may be newer than the offset.
		cls.readInFull(num, max(0, end-2), now)
		return
	}
	known := fol.HandleRead(from, end)
	for idx := from + int64(known); idx < end; idx++ {
		if cls.apply(num, &cls.log[idx]) {
			fol.HandleChange(cls.log[idx])
			cls.recent[num].Add(now, cls.log[idx])
		}
	}
}

// readInFull has an instance read the newest record of each server, after which the list goes on at offset next.
func (cls *cluster) readInFull(num int, next int64, now time.Time) {
	fol, was := cls.fols[num], cls.known[num]
	cls.known[num] = state(cls.log)
	known, before := fol.Known(), fol.KnownTo()
	continued := fol.HandleRereading(next, int64(len(cls.log)))
	var chgs []Change
	note := func(chg Change) {
		chgs = append(chgs, chg)
		if continued {
			fol.HandleRereadChange(chg)
		}
	}
	for key := range was {
		if _, listed := cls.known[num][key]; !listed {
			note(Change{Offset: -1, Key: key})
		}
	}
	newest := map[string]Change{}
	for _, chg := range cls.log {
		newest[chg.Key] = chg
	}
	for key, value := range cls.known[num] {
		if old, had := was[key]; !had || old != value {
			note(newest[key])
		}
	}
	if end := int64(len(cls.log)); known {
		cls.recent[num].HandleReread(now, before, end, chgs)
	} else {
		cls.recent[num].HandleFullRead(end)
	}
}

// state returns the servers that are listed after all records of the log.
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

// Guards against an instance that has read the list to its end but knows something else than its content, whichever instances read it,
// publish digests and send each other what they lack, and whichever of that is missed or read late.
func TestFollowersAgreeWithTheList(t *testing.T) {
	rapid.Check(t, func(rpd *rapid.T) {
		if dif := playCluster(rapid.Uint64().Draw(rpd, "seed")); dif != "" {
			rpd.Fatal(dif)
		}
	})
}

// Guards against digests of a full read that are taken in by instances which know a part of what the read has shown: they lack what was changed and
// undone in between.
func TestFollowersAgreeAfterFullReads(t *testing.T) {
	for _, seed := range []uint64{0x7d05, 0x1720a, 0x2c1611, 0xb7fe7c76a} {
		t.Run(fmt.Sprintf("seed %#x", seed), func(t *testing.T) {
			if dif := playCluster(seed); dif != "" {
				t.Fatal(dif)
			}
		})
	}
}

// playCluster plays 200 steps of a cluster, has all instances read the list to its end, and says what an instance knows then in place of the list.
func playCluster(seed uint64) string {
	const instances = 3
	cls := &cluster{consumed: make([]int, instances)}
	for num := range instances {
		cls.fols = append(cls.fols, NewFollower(NewConfig(fmt.Sprint("instance-", num), testBound), began))
		cls.known = append(cls.known, map[string]string{})
		cls.recent = append(cls.recent, NewRecentChanges())
	}
	rnd := rand.New(rand.NewPCG(seed, 1))
	now := began
	for range 200 {
		now = now.Add(time.Duration(rnd.IntN(400)) * time.Millisecond)
		cls.step(rnd, now)
	}
	end := int64(len(cls.log))
	for num, fol := range cls.fols {
		for fol.NextOffset() < end {
			cls.read(num, now)
		}
		if !maps.Equal(cls.known[num], state(cls.log)) {
			return fmt.Sprintf("instance %d knows %v, the content of the list is %v", num, cls.known[num], state(cls.log))
		}
	}
	return ""
}

// step appends a record to the list, or has an instance read the list, publish digests or read one.
func (cls *cluster) step(rnd *rand.Rand, now time.Time) {
	num := rnd.IntN(len(cls.fols))
	fol := cls.fols[num]
	switch rnd.IntN(7) {
	case 0, 1:
		chg := Change{Offset: int64(len(cls.log)), Key: fmt.Sprint("server-", rnd.IntN(4))}
		if rnd.IntN(4) > 0 {
			chg.Value = fmt.Append(nil, rnd.IntN(2))
		}
		cls.log = append(cls.log, chg)
	case 2:
		cls.read(num, now)
	case 3:
		for _, dig := range fol.PendingDigests(now, rnd.IntN(3)) {
			if prb := dig.Problem(); prb != "" {
				panic(prb) // The test fails with the seed.
			}
			cls.digests = append(cls.digests, dig)
			if rnd.IntN(4) > 0 { // Else the answer to the write is lost.
				fol.HandlePublished(now, &dig)
			}
		}
	case 4:
		cls.consume(num, now, rnd)
	case 5:
		cls.send(num, rnd.IntN(len(cls.fols)))
	case 6:
		cls.receive(now, rnd)
	}
}

// consume has an instance read the next digest; one time in 20 it discards what it knows of the list instead, and two times in 20 it finds the
// history of the list gone.
func (cls *cluster) consume(num int, now time.Time, rnd *rand.Rand) {
	switch rnd.IntN(20) {
	case 0:
		cls.fols[num].HandleFullRead(unknown)
		return
	case 1, 2:
		cls.fols[num].HandleCompaction()
		return
	}
	if cls.consumed[num] >= len(cls.digests) {
		return
	}
	dig := cls.digests[cls.consumed[num]]
	cls.consumed[num]++
	known := cls.fols[num].KnownTo()
	chgs, follows := cls.fols[num].HandleDigest(now, &dig)
	if follows && dig.Reread && dig.To > known {
		cls.recent[num].HandleReread(now, known, dig.To, chgs)
	}
	for idx := range chgs {
		cls.apply(num, &chgs[idx])
		if !dig.Reread {
			cls.recent[num].Add(now, chgs[idx])
		}
	}
}
