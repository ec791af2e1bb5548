package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/version/serverlist"
)

// Guards against a server that an instance never hears of, as its entry came and went between two reads: its tasks would be taken for not run.
func TestServerListedAndGoneBetweenReads(t *testing.T) {
	inTestSystem(t, 2, 2, 1, func(sys *system) {
		chk := is.NewRelaxed(t)
		sys.sendHeartbeats(time.Second)
		sys.startServer("server-1-9", "domain-1")
		sys.sto.Unlist(sys.servers["server-1-9"])
		sys.sendHeartbeatsExcept("server-1-9", 2*time.Second)
		for _, prc := range sys.runningProcesses() {
			prc.dmn.mu.Lock()
			_, kept := prc.dmn.missing["server-1-9"]
			prc.dmn.mu.Unlock()
			chk.True(kept)
		}
	})
}

// Guards against a list that counts as whole though another instance's full read, which this one goes by, may have missed a server.
func TestFullReadOfAnotherInstanceMayBeIncomplete(t *testing.T) {
	inTestSystem(t, 1, 1, 1, func(sys *system) {
		chk := is.NewRelaxed(t)
		sys.sendHeartbeats(maxUnlisted + time.Second)
		dmn := sys.instances["entry-1-1"].dmn
		now := dmn.beginEvent()
		defer dmn.endEvent(now)
		known := dmn.follower.KnownTo()
		chk.True(dmn.coverage.Complete(now))
		dmn.applyDigest(now, &serverlist.Digest{Reader: "one", From: known, To: known + 2, Reread: true})
		chk.Equal(dmn.follower.KnownTo(), known+2)
		chk.True(!dmn.coverage.Complete(now))
		dmn.handleCompleteOffset(now, "one", known+2)
		chk.True(dmn.coverage.Complete(now))
	})
}

// Guards against a list that counts as whole by another instance's before it has been read as far as that one.
func TestListIsReadAsFarAsTheCompleteOne(t *testing.T) {
	inTestSystem(t, 1, 1, 1, func(sys *system) {
		chk := is.NewRelaxed(t)
		dmn := sys.instances["entry-1-1"].dmn
		now := dmn.beginEvent()
		defer dmn.endEvent(now)
		known := dmn.follower.KnownTo()
		dmn.coverage = serverlist.NewCoverage(serverlist.CoverageConfig{RecoveryTime: recoveryTime, MaxUnlisted: maxUnlisted})
		dmn.coverage.HandleFullRead(now, known)
		dmn.handleCompleteOffset(now, "one", known+1)
		chk.True(!dmn.coverage.Complete(now))
		dmn.applyDigest(now, &serverlist.Digest{Reader: "one", From: known, To: known + 1})
		chk.True(dmn.coverage.Complete(now))
	})
}

// Guards against a task that runs twice as a new leader doesn't ask a server that an instance hears at once to leave and to be gone, as it is cut
// off from the store: a leader that has not read so may have started the task there.
func TestLeavingServerIsKeptAsMissing(t *testing.T) {
	cases := map[string]struct {
		// leavesFor is how long the server is listed as leaving.
		leavesFor time.Duration
		kept      bool
	}{
		"it leaves and is gone at once": {kept: true},
		"it is gone within a second":    {leavesFor: time.Second, kept: true},
		// Each leader that hears of the list has read by then that it leaves.
		"it is gone once it has left": {leavesFor: 3 * time.Second},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			inTestSystem(t, 1, 2, 3, func(sys *system) {
				chk := is.NewRelaxed(t)
				sys.sendHeartbeats(2 * time.Second)
				sys.listServer("server-1-1", "domain-1", "draining")
				sys.sendHeartbeatsExcept("server-1-1", cse.leavesFor)
				sys.sto.Unlist(sys.servers["server-1-1"])
				sys.sendHeartbeatsExcept("server-1-1", 2*time.Second)
				for _, prc := range sys.runningProcesses() {
					prc.dmn.mu.Lock()
					_, listed := prc.dmn.entries["server-1-1"]
					_, kept := prc.dmn.missing["server-1-1"]
					prc.dmn.mu.Unlock()
					chk.True(!listed)
					chk.Equal(kept, cse.kept)
				}
			})
		})
	}
}
