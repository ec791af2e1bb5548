package entry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutstack/internal/request/callerpb"
	"chestnutstack/internal/version/platformpb"
)

func outageSession(wld *world) {
	wld.report(order("entry-1", "van-1"))
	wld.faultPlatform(&platformpb.Faults{Refuse: true})
	wld.say("the platform is down")
	time.Sleep(time.Minute)
	wld.report(order("entry-1", "van-2"))
	wld.report(quotation("entry-2", "quote-1"))
	wld.report(thumbnails("entry-3", "deck-1", 4))
	time.Sleep(time.Hour)
	wld.report(quotation("entry-2", "quote-2"))
	wld.faultPlatform(&platformpb.Faults{})
	wld.say("the platform is back")
	time.Sleep(10 * time.Second)
	wld.report(order("entry-1", "van-2"))
}

func lostReplySession(wld *world) {
	wld.faultPlatform(&platformpb.Faults{LoseReplies: true})
	wld.say("replies of the log are lost")
	wait := wld.running(order("entry-1", "van-1"))
	time.Sleep(time.Second)
	wld.faultPlatform(&platformpb.Faults{})
	wld.say("replies come again")
	res := wait()
	time.Sleep(5 * time.Second)
	if res.err != nil {
		again := order("entry-2", "van-1")
		again.again = true
		wld.report(again)
	}
	wld.say("van-1 was started %d times", wld.starts(partnerAttica, "van-1")[0])
}

func startInOutageSession(wld *world) {
	wld.faultPlatform(&platformpb.Faults{Refuse: true})
	wld.say("the platform is down")
	wld.entries["entry-1"].stop()
	<-wld.entries["entry-1"].done
	wld.startEntry("entry-1", "domain-1")
	time.Sleep(20 * time.Second)
	cli := wld.client()
	defer cli.CloseIdleConnections()
	wld.say("entry-1 replaced, ready: %t", wld.isReady(cli, "entry-1"))
	wld.report(quotation("entry-1", "quote-1"))
	wld.report(order("entry-1", "van-1"))
	wld.faultPlatform(&platformpb.Faults{})
	wld.say("the platform is back")
	time.Sleep(20 * time.Second)
	wld.report(quotation("entry-1", "quote-1"))
	wld.report(order("entry-1", "van-1"))
}

func cutSession(wld *world) {
	own := map[string]bool{"entry-1": true, "backend-1": true, "backend-4": true}
	others := []string{"entry-2", "entry-3", "backend-2", "backend-3", "backend-5", "backend-6", "platform"}
	for inside := range own {
		for _, outside := range others {
			wld.net.Separate(inside, outside)
		}
	}
	wld.say("domain-1 is cut off")
	time.Sleep(20 * time.Second)
	wld.report(thumbnails("entry-1", "deck-1", 4))
	wld.report(order("entry-1", "van-1"))
	wld.report(thumbnails("entry-2", "deck-2", 4))
	wld.report(order("entry-2", "van-2"))
	wld.net.Heal()
	wld.say("the cut is healed")
	time.Sleep(time.Minute)
	wld.report(thumbnails("entry-1", "deck-3", 8))
	wld.report(order("entry-1", "van-1"))
}

// TestSeedIsNotInItsOwnList guards against an instance that starts in an outage and stays alone: the list that it gets from its seed was read
// before the platform listed the seed.
func TestSeedIsNotInItsOwnList(t *testing.T) {
	inWorld(t, shape{entries: 1, domains: 1, servers: 1, slots: 4}, func(wld *world) {
		chk := is.NewRelaxed(t)
		chk.NoErr(wld.plt.PutInstance(&platformpb.Instance{Id: "entry-1"}, true))
		time.Sleep(10 * time.Second)
		wld.faultPlatform(&platformpb.Faults{Refuse: true})
		wld.startUnlisted("entry-2", "domain-1")
		time.Sleep(5 * time.Second)
		res := wld.submit(quotation("entry-2", "quote-1"))
		chk.NoErr(res.err)
		chk.Equal(res.answer.GetVerdict(), callerpb.Verdict_VERDICT_DONE)
		wld.faultPlatform(&platformpb.Faults{})
	})
}
