package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/connection/mesh"
	"chestnutstack/internal/version/serverlist"
	"chestnutstack/platform"
)

// Guards against a list that is forgotten because a digest was written twice, and against one that was rewound and goes on being used.
func TestRewoundListIsForgotten(t *testing.T) {
	cases := map[string]struct {
		again, unlimited bool
		from, to         int64
		forgets          bool
	}{
		"written again, shorter": {again: true, to: 5},
		"rewound":                {from: -8, to: -2, forgets: true},
		"nothing is limited":     {from: -8, to: -2, unlimited: true},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			inTestSystem(t, 1, 1, 1, func(sys *system) {
				dmn := sys.instances["entry-1-1"].dmn
				now := dmn.beginEvent()
				defer dmn.endEvent(now)
				dmn.follower.HandleRead(dmn.follower.KnownTo(), 100)
				dmn.limited = !cse.unlimited
				dmn.applyDigest(now, &serverlist.Digest{Reader: "one", From: 100, To: 110})
				dmn.applyDigest(now, &serverlist.Digest{Reader: "one", From: 100 + cse.from, To: 100 + cse.to})
				is.New(t).Equal(dmn.follower.Known(), !cse.forgets)
				is.New(t).Equal(dmn.mayBeFormer(now, 109), cse.forgets)
			})
		})
	}
}

// Guards against an instance of a small system that is sent the list by others when it starts: what it proves to a leader rests on a read of its own. Where
// the reads of all take more than the store allows, others send it the list.
func TestListIsSentOnlyWhereReadsAreLimited(t *testing.T) {
	for name, cse := range map[string]struct{ storeBytes, sent int64 }{
		"the store's rate is unknown": {}, "all reads fit": {storeBytes: 80_000_000}, "the reads of all are too many": {storeBytes: 500, sent: 1},
	} {
		t.Run(name, func(t *testing.T) {
			inTestSystem(t, 1, 1, 2, func(sys *system) {
				chk := is.NewRelaxed(t)
				dmn := sys.instances["entry-1-1"].dmn
				now := dmn.beginEvent()
				dmn.limit = serverlist.NewReadLimit(serverlist.ReadLimitConfig{StoreBytes: cse.storeBytes}, now)
				dmn.limit.HandleServers(len(dmn.entries))
				dmn.handleHeartbeat(now, "one", mesh.Heartbeat{Domain: domainName(0), WantsList: true})
				dmn.endEvent(now)
				time.Sleep(100 * time.Millisecond) // The list is encoded in the background.
				chk.Equal(dmn.cnt.listsSent.Load(), cse.sent)
			})
		})
	}
}

// Guards against a read for which a leader waits that each further request puts off again: after a start of many, takeovers ask every few milliseconds.
func TestAskedReadComesDespiteFurtherRequests(t *testing.T) {
	inTestSystem(t, 1, 2, 2, func(sys *system) {
		chk := is.NewRelaxed(t)
		for _, prc := range sys.instances {
			dmn := prc.dmn
			now := dmn.beginEvent()
			dmn.limit = serverlist.NewReadLimit(serverlist.ReadLimitConfig{StoreBytes: 2000, DigestTimeout: time.Hour}, now)
			dmn.limit.SetPosition(0.9)
			dmn.endEvent(now)
		}
		began := time.Now()
		for time.Since(began) < 9*time.Second { // From 10 s after a start on a read that is asked for comes at once.
			for _, prc := range sys.instances {
				prc.dmn.requestListRead()
			}
			time.Sleep(50 * time.Millisecond)
		}
		for _, prc := range sys.instances {
			prc.dmn.mu.Lock()
			chk.True(prc.dmn.listReadAt.After(began.Add(time.Second)))
			prc.dmn.mu.Unlock()
		}
	})
}

// Guards against a list of another instance, or its size, that is used though it can't be right or is older than what is known.
func TestBadListIsNotUsed(t *testing.T) {
	inTestSystem(t, 1, 1, 2, func(sys *system) {
		chk := is.NewRelaxed(t)
		dmn := sys.instances["entry-1-1"].dmn
		older, err := platform.EncodeList(&platform.WholeList{By: "one", To: 1})
		chk.NoErr(err)
		dmn.mu.Lock()
		dmn.gap = true
		dmn.mu.Unlock()
		dmn.handleServerList("one", []byte("x"))
		dmn.handleServerList("one", older)
		dmn.mu.Lock()
		defer dmn.mu.Unlock()
		chk.Equal(len(dmn.entries), 2)
		chk.Equal(dmn.cnt.badDigests.Load(), int64(1))
		before := dmn.limit.Limits(dmn.now(), 0)
		dmn.handleListState("one", &mesh.Heartbeat{ListBytes: -1, ListRate: 1 << 60})
		chk.Equal(dmn.limit.Limits(dmn.now(), 0), before)
	})
}
