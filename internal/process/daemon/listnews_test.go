package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/version/serverlist"
	"chestnutstack/platform"
)

// Guards against an instance that finds the history of the list gone, gets an old digest of a full read, and then tells others a part of what they lack.
func TestOldDigestKeepsRecentChanges(t *testing.T) {
	for name, reread := range map[string]bool{"of records": false, "of a full read": true} {
		t.Run(name, func(t *testing.T) {
			inTestSystem(t, 1, 1, 1, func(sys *system) {
				chk := is.NewRelaxed(t)
				dmn := sys.instances["entry-1-1"].dmn
				now := dmn.beginEvent()
				defer dmn.endEvent(now)
				known := dmn.follower.KnownTo()
				dmn.applyDigest(now, &serverlist.Digest{Reader: "one", From: known, To: known + 2, Changes: []serverlist.Change{{Offset: known, Key: "s"}}})
				dmn.follower.HandleCompaction()
				dmn.applyDigest(now, &serverlist.Digest{Reader: "one", From: 0, To: known + 1, Reread: reread})
				_, lacking := dmn.recent.LackingSince(known, known+2)
				chk.True(lacking)
			})
		})
	}
}

// Guards against log lines that tell no offset of the list while its history is gone, so that nobody sees by which list a leader went.
func TestListStateAfterADroppedHistory(t *testing.T) {
	inTestSystem(t, 1, 1, 1, func(sys *system) {
		chk := is.NewRelaxed(t)
		dmn := sys.instances["entry-1-1"].dmn
		now := dmn.beginEvent()
		defer dmn.endEvent(now)
		known := dmn.listState(now).offset
		chk.True(known > 0)
		dmn.follower.HandleCompaction()
		chk.Equal(dmn.listState(now).offset, known)
	})
}

// Guards against a part of the list that is found missing while a read is under way which ends before it, and that is then not read.
func TestPartFoundMissingDuringARead(t *testing.T) {
	inTestSystem(t, 1, 1, 1, func(sys *system) {
		chk := is.NewRelaxed(t)
		dmn := sys.instances["entry-1-1"].dmn
		gap := func() bool {
			dmn.mu.Lock()
			defer dmn.mu.Unlock()
			return dmn.gap
		}
		dmn.mu.Lock()
		began, known := dmn.now().Add(-time.Millisecond), dmn.follower.KnownTo()
		dmn.mu.Unlock()
		dmn.handleDigest(&serverlist.Digest{Reader: "one", From: known + 5, To: known + 6})
		chk.True(gap())
		dmn.applyListChanges(began, known, &platform.Chunk{Next: known, End: known})
		chk.True(gap())
		dmn.applyListChanges(dmn.now(), known, &platform.Chunk{Next: known, End: known})
		chk.True(!gap())
	})
}
