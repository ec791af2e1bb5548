package daemon

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against instances that are cut off from the others and the store, but not from backend servers and callers, and that take shards over again and again:
// each takeover ends that of a leader which the others hear, and the others take the shard back.
func TestCutOffInstancesContestNothing(t *testing.T) {
	cases := map[string]struct {
		// cut are the instances that are cut off from the others.
		cut []string
	}{
		"one of six":                    {cut: []string{"entry-1-1"}},
		"two of six, of one domain":     {cut: []string{"entry-2-1", "entry-2-2"}},
		"two of six, of two domains":    {cut: []string{"entry-1-1", "entry-3-1"}},
		"one that hears only one other": {cut: []string{"entry-1-2", "entry-2-1"}},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.NewRelaxed(t)
			inTestSystem(t, 3, 2, 8, func(sys *system) {
				cut := map[string]bool{}
				for _, nam := range cse.cut {
					cut[nam] = true
				}
				for nam := range cut {
					sys.net.Separate(sys.instances[nam].host, storeHost)
					for oth, prc := range sys.instances {
						if !cut[oth] {
							sys.net.Separate(sys.instances[nam].host, prc.host)
						}
					}
				}
				before := strings.Count(sys.logText(), "taking the shard over")
				var all []*sentJob
				for num := range 200 {
					time.Sleep(30 * time.Millisecond)
					nms := sys.instanceNames()
					at := nms[num%len(nms)]
					if cut[at] {
						continue
					}
					all = append(all, sys.sendAsync(sys.ctx, at, jobSpec{id: jobID(num + 1), tasks: 4, payload: payload{Millis: 200, Needs: 4000}, callerTimeout: 1500 * time.Millisecond}))
				}
				served := 0
				for _, snt := range all {
					<-snt.done
					if snt.status == http.StatusOK {
						served++
					}
				}
				takeovers := strings.Count(sys.logText(), "taking the shard over") - before
				t.Logf("%d of %d served, %d takeovers", served, len(all), takeovers)
				sys.heal()
				time.Sleep(3 * time.Second)
				chk.True(served >= len(all)*9/10)
			})
		})
	}
}
