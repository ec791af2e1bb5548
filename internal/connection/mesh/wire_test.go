package mesh

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"chestnutstack/internal/connection/meshpb"
	"chestnutstack/internal/request/shard"
)

// Guards against fields of reports that instances don't tell each other.
func TestReportOnTheWire(t *testing.T) {
	cases := map[string]shard.Report{
		"done":        {Task: "j.0.0.0", Token: 7, Outcome: shard.Done, Took: 3 * time.Millisecond, Server: "s", Factor: 1670},
		"returned":    {Task: "j.0.0.0", Token: 7, Outcome: shard.NotRun, Reason: shard.NoMemory, MayHaveRun: true},
		"preempted":   {Task: "j.0.0.0", Token: 7, Outcome: shard.Started, Preempted: true, WorkLost: 3 * time.Millisecond},
		"replaced":    {Task: "j.0.0.0", Token: 7, Outcome: shard.OrderReplaced, NewOwner: "two/2", SubmissionNumber: 9},
		"is unknown":  {Task: "j.0.0.0", Token: 7, Outcome: shard.OrderReplaced + 1},
		"is too late": {Task: "j.0.0.0", Token: 7, Outcome: shard.NotRun, Reason: shard.WouldEndTooLate, TooLate: true},
	}
	for name, rep := range cases {
		t.Run(name, func(t *testing.T) {
			dlv := &meshpb.Delivery{}
			appendMessage(dlv, time.Unix(1000, 0), Report{Report: rep})
			is.New(t).Equal(decodeMessages(dlv, time.Unix(1000, 0), "one/1"), []Message{Report{Report: rep}})
		})
	}
}

// Guards against reports on a replaced order that its owner takes for ones on an earlier submission, as the order's number is lost on the way.
func TestSubmissionNumberOnTheWire(t *testing.T) {
	dlv := &meshpb.Delivery{}
	now := time.Unix(1000, 0)
	appendMessage(dlv, now, Order{Shard: "a.0", Order: shard.Order{Task: "j.0.0.0", SubmissionNumber: 9}})
	numbered := func(msg Message) bool { ord, ok := msg.(Order); return ok && ord.Order.SubmissionNumber == 9 }
	is.New(t).True(slices.ContainsFunc(decodeMessages(dlv, now, "one/1"), numbered))
}

func TestSpeedsOnTheWire(t *testing.T) {
	// Guards against speeds of servers that instances don't tell each other, and against ones that an earlier version, which knows no speeds, seems to
	// have told.
	chk := is.New(t)
	now := time.Unix(1000, 0)
	msg := ServerSpeeds{Told: shard.ToldSpeeds{Shard: "a.0", Token: 7, Speeds: []shard.ServerSpeed{{Server: "s", Incarnation: 3, Factor: 1670}}}}
	dlv := &meshpb.Delivery{}
	appendMessage(dlv, now, msg)
	chk.Equal(decodeMessages(dlv, now, "one/1"), []Message{msg})
	hbt := Heartbeat{Leaderships: []Leadership{{Shard: "a.0", Load: shard.Load{Free: []int64{9}, FreeFactors: []int64{600}}}}}
	chk.Equal(decodeHeartbeat(encodeHeartbeat(hbt)).Leaderships[0].Load.FreeFactors, []int64{600})
	hbt.Leaderships[0].Load.FreeFactors = nil
	chk.Equal(len(decodeHeartbeat(encodeHeartbeat(hbt)).Leaderships[0].Load.FreeFactors), 0)
}

// Guards against loads that promise less urgent tasks the headroom after a heartbeat, and against headroom of other servers than the free room.
func TestHeadroomOnTheWire(t *testing.T) {
	kept := shard.ServerRoom{Processor: []int64{7, 0}, Memory: []int64{3, 0}}
	cases := map[string]struct {
		kept, want [shard.Priorities]shard.ServerRoom
	}{
		"nothing":               {},
		"from both":             {[shard.Priorities]shard.ServerRoom{1: kept, 2: kept}, [shard.Priorities]shard.ServerRoom{1: kept, 2: kept}},
		"from the least urgent": {[shard.Priorities]shard.ServerRoom{2: kept}, [shard.Priorities]shard.ServerRoom{2: kept}},
		"of other servers":      {kept: [shard.Priorities]shard.ServerRoom{1: {Processor: []int64{7}, Memory: []int64{3}}}},
		"negative":              {kept: [shard.Priorities]shard.ServerRoom{1: {Processor: []int64{-7, 0}, Memory: []int64{3, 0}}}},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			lod := shard.Load{Free: []int64{8, 9}, FreeMemory: []int64{4, 5}, Kept: cas.kept}
			hbt := decodeHeartbeat(encodeHeartbeat(Heartbeat{Leaderships: []Leadership{{Shard: "a.0", Load: lod}}}))
			is.New(t).Equal(hbt.Leaderships[0].Load.Kept, cas.want)
		})
	}
}

// Guards against a task that is preempted again as its mark is lost on the way.
func TestMarkOfPreemptionOnTheWire(t *testing.T) {
	dlv := &meshpb.Delivery{}
	now := time.Unix(1000, 0)
	appendMessage(dlv, now, Order{Shard: "a.0", Order: shard.Order{Task: "j.0.0.0", Preempted: true}})
	marked := func(msg Message) bool { ord, ok := msg.(Order); return ok && ord.Order.Preempted }
	is.New(t).True(slices.ContainsFunc(decodeMessages(dlv, now, "one/1"), marked))
}

func TestSizeOfSpeeds(t *testing.T) {
	// Guards against messages about speeds that fill narrow links: nine servers, each two seconds to each instance of the failure domain.
	told := shard.ToldSpeeds{Shard: "domain-1.0", Token: 9 << 20}
	hbt := Heartbeat{Leaderships: []Leadership{{Shard: "domain-1.0"}}}
	before := proto.Size(encodeHeartbeat(hbt))
	for num := range 9 {
		told.Speeds = append(told.Speeds, shard.ServerSpeed{Server: shard.ServerID(fmt.Sprintf("server-1-%d", 10+num)), Incarnation: 1_790_000_000_000, Factor: 1670})
		hbt.Leaderships[0].Load.FreeFactors = append(hbt.Leaderships[0].Load.FreeFactors, 1670)
	}
	msg, beat := proto.Size(encodeSpeeds(ServerSpeeds{Told: told})), proto.Size(encodeHeartbeat(hbt))-before
	t.Logf("a message has %d bytes, a heartbeat %d more", msg, beat)
	is.New(t).True(msg < 400 && beat < 40)
}

// Guards against a new leader that takes its own servers for all on which a former one may have started a task, as it isn't told of their division.
func TestFormerDivisionOnTheWire(t *testing.T) {
	dlv := &meshpb.Delivery{}
	now := time.Unix(1000, 0)
	appendMessage(dlv, now, Order{Shard: "a.0", Order: shard.Order{Task: "j.0.0.0", Reassigned: true, FormerShards: 3}})
	told := func(msg Message) bool { ord, ok := msg.(Order); return ok && ord.Order.FormerShards == 3 }
	is.New(t).True(slices.ContainsFunc(decodeMessages(dlv, now, "one/1"), told))
}

// Guards against numbers of a faulty instance that overflow in sums over shards, or become negative as times.
func TestOddNumbersOnTheWire(t *testing.T) {
	for name, num := range map[string]int64{"largest": math.MaxInt64, "lowest": math.MinInt64, "negative": -1} {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			hbt := decodeHeartbeat(&meshpb.Beat{
				Divisions: []*meshpb.Division{{Domain: "a", Count: num}},
				Leads: []*meshpb.Lead{{
					Shard: "a.0", Free: []int64{num, 7}, FreeMemory: []int64{num, 7}, Turnover: num, LinkWindow: num, LinkBusy: num, WaitsMicros: []int64{num},
				}},
			})
			lod := hbt.Leaderships[0].Load
			chk.Equal(len(hbt.Divisions), 0)
			for _, got := range []int64{lod.Free[0], lod.FreeMemory[0], lod.ServiceRate, lod.LinkWindow, lod.LinkBusy, int64(lod.RankWaits[0])} {
				chk.True(got >= 0 && got < math.MaxInt64/2)
			}
			chk.Equal(lod.Free[1], int64(7))
			ord := decodeOrder(&meshpb.Order{Processor: num, Memory: num, AgeMicros: num, AimMicros: num, RunsMicros: num}, "", time.Unix(1000, 0), "one/1")
			chk.True(ord.Processor >= 0 && ord.Memory >= 0)
			chk.Equal(ord.Arrived.After(time.Unix(1000, 0)), num < 0)
			chk.Equal(ord.Due.After(time.Unix(1000, 0)), num > 0)
		})
	}
}
