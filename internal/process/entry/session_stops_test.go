package entry_test

import (
	"strings"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"chestnutstack/internal/connection/caller"
	"chestnutstack/internal/request/callerpb"
)

func stopSession(wld *world) {
	sub := thumbnails("entry-1", "deck-1", 6)
	sub.tasks = repeated("sleep=5s", 6)
	wait := wld.running(sub)
	wld.entries["entry-1"].stop()
	wld.say("entry-1 told to stop")
	time.Sleep(2 * time.Second)
	wld.say("a new submission at entry-1: %s", told(wld.submit(thumbnails("entry-1", "deck-2", 1))))
	wld.report(thumbnails("entry-2", "deck-3", 4))
	wait()
	<-wld.entries["entry-1"].done
	wld.say("entry-1 has exited")
}

// told returns what a caller makes of a refusal or of a refused connection.
func told(res result) string {
	if res.err != nil && strings.Contains(res.err.Error(), "connection refused") {
		return "connection refused"
	}
	return verdictOf(res)
}

func killSession(wld *world) {
	sub := thumbnails("entry-1", "deck-1", 6)
	sub.tasks = repeated("sleep=3s", 6)
	wait := wld.running(sub)
	wld.kill("entry-1")
	wld.say("entry-1 killed")
	wait()
	wld.report(thumbnails("entry-2", "deck-2", 2))
	sub.at, sub.again = "entry-2", true
	wld.report(sub)
	time.Sleep(20 * time.Second)
	wld.report(thumbnails("entry-3", "deck-3", 8))
}

func replaceSession(wld *world) {
	id := wld.report(thumbnails("entry-1", "deck-1", 2)).answer.GetJobId()
	for _, prc := range wld.entries {
		prc.stop()
	}
	for _, prc := range wld.entries {
		<-prc.done
	}
	wld.say("all entry instances have exited")
	for idx, name := range []string{"entry-1", "entry-2", "entry-3"} {
		wld.startEntry(name, "domain-"+string(rune('1'+idx)))
	}
	wld.awaitReady()
	wld.say("new ones are ready")
	wld.report(thumbnails("entry-2", "deck-2", 4))
	svc, done := wld.jobs("entry-2", partnerRiga)
	defer done()
	_, err := svc.Get(wld.ctx, connect.NewRequest(&callerpb.JobRequest{JobId: id}))
	wld.say("a job of the old ones: %s, %s", caller.FromError(err).Verdict(), caller.FromError(err).Reason())
}

func orderAfterKillSession(wld *world) {
	sub := order("entry-1", "van-1")
	sub.tasks = []string{"sleep=2s"}
	wait := wld.running(sub)
	time.Sleep(200 * time.Millisecond)
	wld.say("van-1 was started %d times", wld.starts(partnerAttica, "van-1")[0])
	wld.kill("entry-1")
	wld.say("entry-1 killed")
	wait()
	sub.at, sub.again = "entry-2", true
	wld.report(sub)
	sub.at = "entry-3"
	wld.report(sub)
	wld.say("van-1 was started %d times", wld.starts(partnerAttica, "van-1")[0])
}

func allStoppedSession(wld *world) {
	var waits []func() result
	for idx, at := range []string{"entry-1", "entry-2", "entry-3"} {
		sub := thumbnails(at, "deck-"+string(rune('1'+idx)), 3)
		sub.tasks = repeated("sleep=3s", 3)
		waits = append(waits, wld.running(sub))
	}
	for _, prc := range wld.entries {
		prc.stop()
	}
	wld.say("all entry instances told to stop")
	for _, wait := range waits {
		wait()
	}
	wld.awaitExits()
}

func (wld *world) awaitExits() {
	for _, prc := range wld.entries {
		<-prc.done
	}
	wld.say("all have exited")
}

func allStoppedWithWaitingSession(wld *world) {
	var grp errgroup.Group
	results := make([]result, 3)
	for idx, at := range []string{"entry-1", "entry-2", "entry-3"} {
		sub := thumbnails(at, "deck-"+string(rune('1'+idx)), 24)
		sub.tasks = repeated("sleep=1s", 24)
		grp.Go(func() error {
			results[idx] = wld.submit(sub)
			return nil
		})
	}
	time.Sleep(1500 * time.Millisecond)
	for _, prc := range wld.entries {
		prc.stop()
	}
	wld.say("three jobs of 24 tasks on 12 slots; all entry instances told to stop")
	_ = grp.Wait()
	// How the slots fall to the three differs between runs, and with it the second of the last answer.
	time.Sleep(time.Until(wld.began.Add(15 * time.Second)))
	for idx, res := range results {
		wld.say("deck-%d: %s", idx+1, verdictOf(res))
	}
	wld.awaitExits()
}
