package serverlist

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a digest that lacks changes: while another one is written, a full read of another instance takes the changes to publish away.
func TestChangesAreDroppedDuringAWrite(t *testing.T) {
	chk := is.New(t)
	fol := newTestFollower()
	fol.HandleFullRead(10)
	fol.HandleRead(10, 12)
	fol.HandleRead(12, 14)
	fol.HandleChange(Change{Offset: 13, Key: "s"})
	digs := fol.PendingDigests(began, 0)
	chk.Equal(len(digs), 1)
	_, ok := fol.HandlePeerChanges(&Digest{Reader: "one", From: 14, To: 20, Reread: true, Changes: []Change{{14, "t", nil}}})
	chk.True(ok)
	fol.HandlePublished(began, &digs[0])
	fol.HandleRead(20, 22)
	for _, dig := range fol.PendingDigests(began.Add(time.Hour), 0) {
		chk.True(dig.From >= 20) // Offset 14 is not among the changes to publish.
	}
}
