package serverlist

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// send has an instance send another one what that one lacks.
func (cls *cluster) send(from, to int) {
	offset, end := cls.fols[to].KnownTo(), cls.fols[from].KnownTo()
	if !cls.fols[to].Exact() || end == unknown {
		return
	}
	if _, lacking := cls.recent[from].LackingSince(offset, end); lacking {
		cls.sent = append(cls.sent, sentChanges{to: to, dig: cls.recent[from].Since(fmt.Sprint("instance-", from), offset, end)})
	}
}

// receive has an instance take in some changes that were sent to it.
func (cls *cluster) receive(now time.Time, rnd *rand.Rand) {
	if len(cls.sent) == 0 {
		return
	}
	idx := rnd.IntN(len(cls.sent))
	snt := cls.sent[idx]
	cls.sent = slices.Delete(cls.sent, idx, idx+1)
	if prb := snt.dig.Problem(); prb != "" {
		panic(prb) // The test fails with the seed.
	}
	fol, known := cls.fols[snt.to], cls.fols[snt.to].KnownTo()
	chgs, follow := fol.HandlePeerChanges(&snt.dig)
	if !follow || snt.dig.To <= known {
		return
	}
	if snt.dig.Reread {
		cls.recent[snt.to].HandleReread(now, known, snt.dig.To, chgs)
	}
	for idx := range chgs {
		cls.apply(snt.to, &chgs[idx])
		if !snt.dig.Reread {
			fol.HandleChange(chgs[idx])
			cls.recent[snt.to].Add(now, chgs[idx])
		}
	}
}
