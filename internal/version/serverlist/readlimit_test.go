package serverlist_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/version/serverlist"
)

var limitStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// newLimit returns the limit of an instance that has read a list of 3,000 servers of which 300 KB are written a second, in the middle of all.
func newLimit(storeBytes int64) *serverlist.ReadLimit {
	lim := serverlist.NewReadLimit(serverlist.ReadLimitConfig{StoreBytes: storeBytes, DigestTimeout: 1800 * time.Millisecond}, limitStart)
	lim.SetPosition(0.5)
	lim.HandleFullRead(limitStart, 3000, 900_000, 0)
	lim.HandleRecords(2000, 300_000)
	lim.HandleEnd(limitStart.Add(time.Second), 2000)
	return lim
}

// Guards against more instances reading the list than the store can serve, against readers that wait though all reads fit, and against an instance that
// never reads though nobody sends it anything.
func TestReadsAreLimited(t *testing.T) {
	const mega = 1_000_000
	now := limitStart.Add(20 * time.Second)
	seconds := func(num float64) time.Duration { return time.Duration(num * float64(time.Second)) }
	known := func(rank, heard int, age float64) serverlist.ReadState {
		return serverlist.ReadState{Rank: rank, Heard: heard, Knowing: heard, Known: true, KnownAt: now.Add(-seconds(age))}
	}
	asked := known(200, 299, 1)
	asked.Asked = now
	failed := known(40, 299, 1)
	failed.Failures = 1
	progress := known(100, 299, 10)
	progress.ProgressAt = now
	gap := progress
	gap.Gap = true
	cases := map[string]struct {
		storeBytes    int64
		sta           serverlist.ReadState
		atLeast, most float64
	}{
		"the store's rate is unknown":           {0, known(299, 299, 1), 0, 0},
		"all reads fit":                         {80 * mega, known(99, 99, 1), 0, 0},
		"first reader":                          {80 * mega, known(0, 299, 1), 0, 0},
		"last of the readers":                   {80 * mega, known(32, 299, 1), 0, 0},
		"the same, when all begin":              {80 * mega, known(32, 299, 2), 0.6, 0.7},
		"second reader, when all begin":         {80 * mega, known(1, 299, 2), 0, 0},
		"first of the others":                   {80 * mega, known(33, 299, 1), 0.8, 0.9},
		"last of the others":                    {80 * mega, known(299, 299, 1), 12, 13},
		"nobody has sent it anything":           {80 * mega, known(299, 299, 60), 0, 0},
		"twice as many wait twice as long":      {80 * mega, known(599, 599, 1), 26, 27},
		"a leader waits":                        {80 * mega, asked, 0, 0},
		"half of the readers after a failure":   {80 * mega, failed, 1.9, 2},
		"a reader that makes progress":          {80 * mega, progress, 4.8, 4.9},
		"the same, but a part is missing":       {80 * mega, gap, 0, 0},
		"one reads where even one is too many":  {mega / 10, known(0, 1, 1), 0, 0},
		"the other one waits then":              {mega / 10, known(1, 1, 1), 30, 40},
		"an instance that is alone":             {mega / 10, known(0, 0, 1), 0, 0},
		"ranks that say little hold later, too": {80 * mega, known(0, 0, 1), 0, 0},
		"the store's rate is absurdly low":      {4, known(1, 1, 0), 600, 602},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.NewRelaxed(t)
			lim := newLimit(cse.storeBytes)
			lim.HandleEnd(now.Add(-time.Second), 38_000)
			lim.HandleEnd(now, 40_000)
			got := lim.Wait(now, cse.sta).Seconds()
			t.Log(got)
			chk.True(got >= cse.atLeast && got <= cse.most)
		})
	}
}

// Guards against first reads of all at once, against an instance that starts alone and waits, and against one that waits for a list of instances that
// never comes.
func TestFirstReadsAreSpread(t *testing.T) {
	cases := map[string]struct {
		storeBytes     int64
		listed         int
		heard, knowing int
		after          time.Duration
		full           int64
		want           time.Duration
	}{
		"the store's rate is unknown":           {},
		"the list of instances is not read yet": {storeBytes: 80_000_000, want: 10 * time.Millisecond},
		"it doesn't come":                       {storeBytes: 80_000_000, after: 2 * time.Second, want: 10 * time.Millisecond},
		"it doesn't come for longer":            {storeBytes: 80_000_000, after: 3 * time.Second},
		"all reads fit":                         {storeBytes: 80_000_000, listed: 100},
		"hundreds start":                        {storeBytes: 80_000_000, listed: 300, want: 6750 * time.Millisecond},
		"hundreds started a while ago":          {storeBytes: 80_000_000, listed: 300, after: 7 * time.Second},
		"the others know the list":              {storeBytes: 80_000_000, listed: 300, heard: 299, knowing: 299},
		"most know it":                          {storeBytes: 80_000_000, listed: 300, heard: 299, knowing: 260},
		"few know it":                           {storeBytes: 80_000_000, listed: 300, heard: 299, knowing: 100, want: 6750 * time.Millisecond},
		"a large list is reported":              {storeBytes: 80_000_000, listed: 100, full: 9_000_000, want: 22500 * time.Millisecond},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			lim := serverlist.NewReadLimit(serverlist.ReadLimitConfig{StoreBytes: cse.storeBytes, DigestTimeout: time.Second}, limitStart)
			lim.SetPosition(0.5)
			if cse.listed > 0 {
				lim.HandleInstances(limitStart, cse.listed)
			}
			lim.HandleReport(serverlist.ListSize{Full: cse.full})
			got := lim.Wait(limitStart.Add(cse.after), serverlist.ReadState{Heard: cse.heard, Knowing: cse.knowing})
			is.New(t).Equal(got, cse.want)
		})
	}
}

// Guards against a limit that ends and begins with each measurement, and against one that goes by what was measured long ago.
func TestListIsMeasured(t *testing.T) {
	chk := is.NewRelaxed(t)
	lim := newLimit(80_000_000)
	at := limitStart.Add(time.Second)
	chk.Equal(lim.Size(), serverlist.ListSize{Full: 900_000, PerSecond: 300_000})
	chk.True(lim.Limits(at, 150).Active)
	chk.True(lim.Limits(at, 120).Active) // It ends at four fifths of what begins it.
	chk.True(!lim.Limits(at, 100).Active)
	chk.True(!lim.Limits(at, 120).Active)
	lim.HandleReport(serverlist.ListSize{PerSecond: 600_000})
	chk.Equal(lim.Limits(at, 100).ListBytes, int64(300_000))
	chk.Equal(lim.Limits(at.Add(11*time.Second), 100).ListBytes, int64(600_000))
	chk.Equal(serverlist.ListSize{Full: -1}.Problem() == "", false)
	chk.Equal(serverlist.ListSize{PerSecond: 1 << 60}.Problem() == "", false)
}

// Guards against digests that all instances together read faster than the store can, and against paced ones where nothing is limited.
func TestDigestsArePaced(t *testing.T) {
	chk := is.NewRelaxed(t)
	lim, at := newLimit(80_000_000), limitStart.Add(5*time.Second)
	num, limited := lim.DigestChanges(at, 99)
	chk.True(num == 200 && !limited)
	chk.Equal(lim.DigestPause(at, 99, 50_000), time.Duration(0))
	num, limited = lim.DigestChanges(at, 299)
	chk.True(num == 80 && limited)
	chk.Equal(lim.DigestPause(at, 299, 20_000), 300*time.Millisecond)
}

// Guards against a new reader that writes again what another one has written, and against readers that all replace one which writes many changes slowly.
func TestReaderAheadOfTheDigests(t *testing.T) {
	chk := is.NewRelaxed(t)
	now := limitStart
	fol := serverlist.NewFollower(serverlist.NewConfig("two", 3*time.Second), now)
	fol.HandleRereading(10, 10)
	fol.HandleRead(10, 20)
	for off := int64(10); off < 20; off++ {
		fol.HandleChange(serverlist.Change{Offset: off, Key: "s", Value: []byte("v")})
	}
	now = now.Add(2 * time.Second)
	chk.Equal(len(fol.PendingPacedDigests(now, 0, 4)), 3)
	_, ok := fol.HandleDigest(now, &serverlist.Digest{Reader: "one", From: 10, To: 16})
	chk.True(ok)
	digs := fol.PendingPacedDigests(now, 0, 4)
	chk.True(len(digs) == 1 && digs[0].From == 16 && len(digs[0].Changes) == 4)
	now = now.Add(2 * time.Second)
	chk.Equal(len(fol.PendingPacedDigests(now, 1, 4)), 0)
	now = now.Add(2 * time.Second)
	chk.Equal(len(fol.PendingPacedDigests(now, 1, 4)), 1)
}

// Guards against an instance that waits for paced digests of all servers, and against one that takes the whole list from others for what one digest has.
func TestInstanceIsBehind(t *testing.T) {
	cases := map[string]struct {
		heard   int
		lacking int64
		after   time.Duration
		behind  bool
	}{
		"much is missing":    {299, 5000, 5 * time.Second, true},
		"a digest is":        {299, 2000, 5 * time.Second, false},
		"nothing is limited": {99, 5000, 5 * time.Second, false},
		"some time later":    {299, 5000, 21 * time.Second, false},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			now := limitStart.Add(cse.after)
			sta := serverlist.ReadState{Rank: 50, Heard: cse.heard, Known: true, KnownAt: now, Lacking: cse.lacking}
			is.New(t).Equal(newLimit(80_000_000).Behind(now, sta), cse.behind)
		})
	}
}
