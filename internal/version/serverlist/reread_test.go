package serverlist

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a part of a full read that an instance takes in without the parts before it, as it knows the list up to that offset by its own reads.
func TestPartOfFullReadIsNotTakenIn(t *testing.T) {
	const before, end = 10, 1000
	for name, num := range map[string]int{"one change": 1, "as many as a digest has": maxChanges, "one more": maxChanges + 1, "many": 3 * maxChanges} {
		t.Run(name, func(t *testing.T) {
			chk := is.NewRelaxed(t)
			fol := newTestFollower()
			fol.HandleFullRead(before)
			fol.HandleRead(before, before)
			fol.HandleCompaction()
			fol.HandleRereading(end, end)
			for idx := range num {
				fol.HandleRereadChange(Change{Offset: -1, Key: fmt.Sprint("server-", idx)})
			}
			for _, dig := range fol.PendingDigests(began, 0) {
				for off := int64(before + 1); off < end; off++ {
					oth := newTestFollower()
					oth.HandleFullRead(off)
					oth.HandleDigest(began, &dig)
					chk.Equal(oth.KnownTo(), off)
				}
			}
			fol.HandleRead(end, end+1)
			fol.HandleRead(end+1, end+2)
			digs := fol.PendingDigests(began.Add(time.Minute), 0)
			chk.Equal(digs[len(digs)-1].To, int64(end+2)) // Digests go on.
		})
	}
}
