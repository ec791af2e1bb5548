package serverlist

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against a digest that the store refuses for its size, again and again, and with it all changes behind it; and against a part of a full read.
func TestLargeChangesGoIntoSeveralDigests(t *testing.T) {
	large := make([]byte, 16<<10)
	size := func(dig *Digest) (num int) {
		for _, chg := range dig.Changes {
			num += len(chg.Value)
		}
		return num
	}
	cases := map[string]struct {
		changes int
		reread  bool
		digests int
	}{
		"one":                    {changes: 1, digests: 1},
		"many":                   {changes: 100, digests: 15},
		"few of a full read":     {changes: 7, reread: true, digests: 1},
		"too many of a full one": {changes: 100, reread: true},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			fol := newTestFollower()
			fol.HandleFullRead(0)
			fol.HandleRead(0, 0)
			if cse.reread {
				fol.HandleCompaction()
				chk.True(fol.HandleRereading(1000, 1000))
				for num := range cse.changes {
					fol.HandleRereadChange(Change{Offset: -1, Key: fmt.Sprint("server-", num), Value: large})
				}
			} else {
				fol.HandleRead(0, 1000)
				for num := range cse.changes {
					fol.HandleChange(Change{Offset: int64(num), Key: fmt.Sprint("server-", num), Value: large})
				}
			}
			digs, changes := fol.PendingDigests(began, 0), 0
			chk.Equal(len(digs), cse.digests)
			for _, dig := range digs {
				chk.Equal(dig.Problem(), "")
				chk.True(size(&dig) <= 128<<10)
				changes += len(dig.Changes)
			}
			chk.True(cse.digests == 0 || changes == cse.changes)
		})
	}
}
