package mesh

import (
	"fmt"
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
