package mesh

import (
	"slices"
	"time"

	"chestnutstack/internal/connection/meshpb"
	"chestnutstack/internal/request/shard"
	"chestnutstack/internal/version/domainlist"
)

// The parameters and the result of a call are one string each, the base64 of a protobuf message: jsonrpc2 decodes
// every message several times over, and as JSON fields the batches took over half of the processor time of a system of
// 39 instances (2,205 us a task of 850 jobs a second, BenchmarkGrownSystem in process/daemon; 1,709 us in this form).
const methodDeliver = "deliver"

// maxMessage bounds a batch; the largest are configurations of a few hundred routes, some 100 KB.
const maxMessage = 16 << 20

func (epo epoch) encode() *meshpb.Epoch {
	return &meshpb.Epoch{Life: epo.life, Generation: epo.generation}
}

func decodeEpoch(msg *meshpb.Epoch) epoch {
	return epoch{life: msg.GetLife(), generation: msg.GetGeneration()}
}

// greetingOf reads the greeting of a batch or of its receipt.
func greetingOf(msg interface {
	GetOwn() *meshpb.Epoch
	GetOther() *meshpb.Epoch
},
) greeting {
	return greeting{from: decodeEpoch(msg.GetOwn()), to: decodeEpoch(msg.GetOther())}
}

func encodeBeat(bet Heartbeat) *meshpb.Beat {
	msg := &meshpb.Beat{
		Domain: bet.Domain, Processor: int64(bet.Processor * milli), Ready: bet.Ready, Leaving: bet.Leaving,
		Version: bet.ConfigVersion, Round: bet.TokenRound, ListedTo: bet.CompleteUpTo,
	}
	for dom, dvn := range bet.Divisions {
		msg.Divisions = append(msg.Divisions, &meshpb.Division{Domain: dom, Count: int64(dvn.Count), Stamp: dvn.Stamp})
	}
	for _, led := range bet.Leaderships {
		msg.Leads = append(msg.Leads, &meshpb.Lead{
			Shard: string(led.Shard), Token: led.Token,
			Number: led.Load.Number, Free: led.Load.Free, Turnover: led.Load.Turnover, WaitsMicros: encodeWaits(led.Load.Waits),
			LinkWindow: led.Load.LinkWindow, LinkBusy: led.Load.LinkBusy, Closed: led.Load.Closed,
		})
	}
	if bet.ClosedDomains.End != domainlist.Unread {
		msg.ClosedDomains = &meshpb.ClosedDomains{End: bet.ClosedDomains.End, Names: bet.ClosedDomains.Closed}
	}
	return msg
}

func decodeBeat(msg *meshpb.Beat) Heartbeat {
	bet := Heartbeat{
		Domain: msg.GetDomain(), Processor: float64(msg.GetProcessor()) / milli, Ready: msg.GetReady(),
		Leaving: msg.GetLeaving(), ConfigVersion: msg.GetVersion(), TokenRound: msg.GetRound(),
		Divisions: make(map[string]shard.Division, len(msg.GetDivisions())),
		ClosedDomains:   domainlist.View{End: domainlist.Unread}, CompleteUpTo: msg.GetListedTo(),
	}
	if cld := msg.GetClosedDomains(); cld != nil {
		bet.ClosedDomains = domainlist.View{End: cld.GetEnd(), Closed: cld.GetNames()}
	}
	for _, dvn := range msg.GetDivisions() {
		if dvn.GetCount() > 0 {
			bet.Divisions[dvn.GetDomain()] = shard.Division{Count: int(dvn.GetCount()), Stamp: dvn.GetStamp()}
		}
	}
	for _, led := range msg.GetLeads() {
		lod := shard.Load{
			Number: led.GetNumber(), Free: led.GetFree(), Turnover: led.GetTurnover(),
			LinkWindow: led.GetLinkWindow(), LinkBusy: led.GetLinkBusy(), Closed: led.GetClosed(),
		}
		for rnk, num := range led.GetWaitsMicros()[:min(len(led.GetWaitsMicros()), shard.Ranks)] {
			lod.Waits[rnk] = micros(num)
		}
		bet.Leaderships = append(bet.Leaderships, Leadership{Shard: shard.Name(led.GetShard()), Token: led.GetToken(), Load: lod})
	}
	return bet
}

func encodeWaits(wts [shard.Ranks]time.Duration) []int64 {
	nums := make([]int64, 0, len(wts))
	for _, wat := range wts {
		nums = append(nums, wat.Microseconds())
	}
	return nums
}

// add puts a message into a batch.
func add(dlv *meshpb.Delivery, now time.Time, msg Message) {
	switch msg := msg.(type) {
	case Order:
		dlv.Messages = append(dlv.Messages, &meshpb.Message{Body: &meshpb.Message_Order{Order: encodeOrder(dlv, now, msg)}})
	case Cancellation:
		dlv.Messages = append(dlv.Messages, &meshpb.Message{Body: &meshpb.Message_Withdrawal{Withdrawal: &meshpb.Withdrawal{
			Shard: string(msg.Shard), Token: msg.Token, Task: msg.Task,
		}}})
	case Report:
		dlv.Messages = append(dlv.Messages, &meshpb.Message{Body: &meshpb.Message_Report{Report: &meshpb.Report{
			Task: msg.Report.Task, Token: msg.Report.Token, Outcome: int64(msg.Report.Outcome),
			TookMicros: msg.Report.Took.Microseconds(), Server: string(msg.Report.Server), MayHaveRun: msg.Report.MayHaveRun, Hopeless: msg.Report.Hopeless,
		}}})
	case LossNotice:
		name, life := splitID(msg.Instance)
		dlv.Messages = append(dlv.Messages, &meshpb.Message{Body: &meshpb.Message_Missed{Missed: &meshpb.Missed{
			Name: name, Life: life,
		}}})
	case Configuration:
		dlv.Messages = append(dlv.Messages, &meshpb.Message{Body: &meshpb.Message_Configuration{Configuration: msg.Data}})
	}
}

func encodeOrder(dlv *meshpb.Delivery, now time.Time, msg Order) *meshpb.Order {
	ord := &msg.Order
	idx := slices.Index(dlv.Payloads, ord.Payload)
	if idx < 0 {
		idx = len(dlv.Payloads)
		dlv.Payloads = append(dlv.Payloads, ord.Payload)
	}
	wir := &meshpb.Order{
		Shard: string(msg.Shard), Token: msg.Token, Task: ord.Task, Service: ord.Service,
		Payload:   uint32(idx),
		Processor: ord.Processor, Memory: ord.Memory, Priority: int64(ord.Priority),
		AgeMicros: now.Sub(ord.Arrived).Microseconds(), AimMicros: ord.Aim.Sub(now).Microseconds(), UsefulMicros: ord.Useful.Sub(now).Microseconds(),
		ExpectedMicros: ord.Expected.Microseconds(),
		Label:          ord.Label, Rack: ord.Rack, PerServer: int64(ord.PerServer), Step: ord.Step,
		Bounce: ord.Bounce, Recall: ord.Recall, Followed: ord.Followed, At: string(ord.At), RunsMicros: ord.RunsFor.Microseconds(),
		JobBegun: ord.JobBegun,
	}
	for _, id := range ord.Avoid {
		wir.Avoid = append(wir.Avoid, string(id))
	}
	return wir
}

// decodeMessages returns the messages of a batch, without those of a kind that this version does not know.
func decodeMessages(dlv *meshpb.Delivery, now time.Time, from shard.InstanceID) []Message {
	msgs := make([]Message, 0, len(dlv.GetMessages()))
	for _, wir := range dlv.GetMessages() {
		switch bdy := wir.GetBody().(type) {
		case *meshpb.Message_Order:
			ord := bdy.Order
			if int(ord.GetPayload()) >= len(dlv.GetPayloads()) {
				continue // No instance sends that; its task would run something else.
			}
			msgs = append(msgs, Order{
				Shard: shard.Name(ord.GetShard()), Token: ord.GetToken(),
				Order: decodeOrder(ord, dlv.GetPayloads()[ord.GetPayload()], now, from),
			})
		case *meshpb.Message_Withdrawal:
			wdr := bdy.Withdrawal
			msgs = append(msgs, Cancellation{Shard: shard.Name(wdr.GetShard()), Token: wdr.GetToken(), Task: wdr.GetTask()})
		case *meshpb.Message_Report:
			rep := bdy.Report
			msgs = append(msgs, Report{Report: shard.Report{
				Task: rep.GetTask(), Token: rep.GetToken(), Outcome: shard.Outcome(rep.GetOutcome()),
				Took: micros(rep.GetTookMicros()), Server: shard.ServerID(rep.GetServer()), MayHaveRun: rep.GetMayHaveRun(), Hopeless: rep.GetHopeless(),
			}})
		case *meshpb.Message_Missed:
			msgs = append(msgs, LossNotice{Instance: ID(bdy.Missed.GetName(), bdy.Missed.GetLife())})
		case *meshpb.Message_Configuration:
			msgs = append(msgs, Configuration{Data: bdy.Configuration})
		}
	}
	return msgs
}

func decodeOrder(wir *meshpb.Order, payload string, now time.Time, from shard.InstanceID) shard.Order {
	ord := shard.Order{
		Task: wir.GetTask(), Owner: from, Service: wir.GetService(), Payload: payload,
		Processor: wir.GetProcessor(), Memory: wir.GetMemory(), Priority: int(wir.GetPriority()),
		Arrived: now.Add(-micros(wir.GetAgeMicros())), Aim: now.Add(micros(wir.GetAimMicros())), Useful: now.Add(micros(wir.GetUsefulMicros())),
		Expected: micros(wir.GetExpectedMicros()), Label: wir.GetLabel(), Rack: wir.GetRack(),
		PerServer: int(wir.GetPerServer()), Step: wir.GetStep(),
		Bounce: wir.GetBounce(), Recall: wir.GetRecall(), Followed: wir.GetFollowed(), JobBegun: wir.GetJobBegun(), At: shard.ServerID(wir.GetAt()),
		RunsFor: micros(wir.GetRunsMicros()),
	}
	for _, id := range wir.GetAvoid() {
		ord.Avoid = append(ord.Avoid, shard.ServerID(id))
	}
	return ord
}

const milli = 1000

func micros(num int64) time.Duration { return time.Duration(num) * time.Microsecond }
