package mesh

import (
	"time"

	"chestnutstack/internal/request/shard"
)

const methodDeliver = "deliver"

// maxMessage bounds a batch; the largest are configurations of a few hundred routes, some 100 KB.
const maxMessage = 16 << 20

// wireDelivery is a batch. Times are told as durations, as the clocks of two machines differ.
type wireDelivery struct {
	From string `json:"from"`
	Life int64  `json:"life"`
	// Generation counts the sessions that the sender has given up; the to- fields are the receiver's life and
	// generation as the sender knows them. Sequence counts the batches of a session that is up.
	Generation   int64         `json:"generation"`
	ToLife       int64         `json:"to-life,omitempty"`
	ToGeneration int64         `json:"to-generation,omitempty"`
	Sequence     int64         `json:"sequence,omitempty"`
	Beat         wireBeat      `json:"beat"`
	Messages     []wireMessage `json:"messages,omitempty"`
}

// wireReceipt answers a batch.
type wireReceipt struct {
	Life         int64 `json:"life"`
	Generation   int64 `json:"generation"`
	ToLife       int64 `json:"to-life"`
	ToGeneration int64 `json:"to-generation"`
	// Beat is the receiver's: an exchange informs both sides, so that only one of them has to call.
	Beat *wireBeat `json:"beat,omitempty"`
}

func (wir *wireDelivery) greeting() greeting {
	return greeting{
		from: epoch{life: wir.Life, generation: wir.Generation},
		to:   epoch{life: wir.ToLife, generation: wir.ToGeneration},
	}
}

func (wir *wireReceipt) greeting() greeting {
	return greeting{
		from: epoch{life: wir.Life, generation: wir.Generation},
		to:   epoch{life: wir.ToLife, generation: wir.ToGeneration},
	}
}

type wireBeat struct {
	Domain string `json:"domain"`
	// Processor is in thousandths of a core.
	Processor int64      `json:"processor"`
	Ready     bool       `json:"ready,omitempty"`
	Leaving   bool       `json:"leaving,omitempty"`
	Version   int64      `json:"version,omitempty"`
	Round     int64      `json:"round,omitempty"`
	Leads     []wireLead `json:"leads,omitempty"`
	// Divisions has the shards of each failure domain.
	Divisions []wireDivision `json:"divisions,omitempty"`
}

type wireDivision struct {
	Domain string `json:"domain"`
	Count  int    `json:"count"`
	Stamp  int64  `json:"stamp"`
}

type wireLead struct {
	Shard    string                  `json:"shard"`
	Token    int64                   `json:"token"`
	Number   int64                   `json:"number"`
	Free     []int64                 `json:"free,omitempty"`
	Capacity int64                   `json:"capacity"`
	Waiting  [shard.Priorities]int64 `json:"waiting"`
}

// wireMessage has one of its parts.
type wireMessage struct {
	Order         *wireOrder      `json:"order,omitempty"`
	Withdrawal    *wireWithdrawal `json:"withdrawal,omitempty"`
	Report        *wireReport     `json:"report,omitempty"`
	Configuration []byte          `json:"configuration,omitempty"`
}

type wireOrder struct {
	Shard     string   `json:"shard"`
	Token     int64    `json:"token"`
	Task      string   `json:"task"`
	Service   string   `json:"service"`
	Payload   string   `json:"payload"`
	Processor int64    `json:"processor"`
	Memory    int64    `json:"memory"`
	Priority  int      `json:"priority"`
	Age       int64    `json:"age-micros"`
	Aim       int64    `json:"aim-micros"`
	Expected  int64    `json:"expected-micros"`
	Label     string   `json:"label,omitempty"`
	Rack      string   `json:"rack,omitempty"`
	PerServer int      `json:"per-server,omitempty"`
	Step      string   `json:"step"`
	Avoid     []string `json:"avoid,omitempty"`
	Bounce    bool     `json:"bounce,omitempty"`
	Recall    bool     `json:"recall,omitempty"`
	Followed  bool     `json:"followed,omitempty"`
}

type wireWithdrawal struct {
	Shard string `json:"shard"`
	Token int64  `json:"token"`
	Task  string `json:"task"`
}

type wireReport struct {
	Task    string `json:"task"`
	Token   int64  `json:"token"`
	Outcome int    `json:"outcome"`
	Took    int64  `json:"took-micros,omitempty"`
	Server  string `json:"server,omitempty"`
}

func fromBeat(bet Beat) wireBeat {
	wir := wireBeat{
		Domain: bet.Domain, Processor: int64(bet.Processor * milli), Ready: bet.Ready, Leaving: bet.Leaving, Version: bet.ConfigVersion, Round: bet.Round,
	}
	for dom, dvn := range bet.Divisions {
		wir.Divisions = append(wir.Divisions, wireDivision{Domain: dom, Count: dvn.Count, Stamp: dvn.Stamp})
	}
	for _, led := range bet.Leads {
		wir.Leads = append(wir.Leads, wireLead{
			Shard: string(led.Shard), Token: led.Token,
			Number: led.Load.Number, Free: led.Load.Free, Capacity: led.Load.Capacity, Waiting: led.Load.Waiting,
		})
	}
	return wir
}

func (wir *wireBeat) beat() Beat {
	bet := Beat{
		Domain: wir.Domain, Processor: float64(wir.Processor) / milli, Ready: wir.Ready, Leaving: wir.Leaving, ConfigVersion: wir.Version, Round: wir.Round,
		Divisions: make(map[string]shard.Division, len(wir.Divisions)),
	}
	for _, dvn := range wir.Divisions {
		if dvn.Count > 0 {
			bet.Divisions[dvn.Domain] = shard.Division{Count: dvn.Count, Stamp: dvn.Stamp}
		}
	}
	for _, led := range wir.Leads {
		bet.Leads = append(bet.Leads, Lead{
			Shard: shard.Name(led.Shard), Token: led.Token,
			Load: shard.Load{
				Number: led.Number, Free: led.Free, Capacity: led.Capacity, Waiting: led.Waiting,
			},
		})
	}
	return bet
}

func fromMessage(now time.Time, msg Message) wireMessage {
	switch msg := msg.(type) {
	case Order:
		return wireMessage{Order: fromOrder(now, msg)}
	case Withdrawal:
		return wireMessage{Withdrawal: &wireWithdrawal{
			Shard: string(msg.Shard), Token: msg.Token, Task: msg.Task,
		}}
	case Report:
		return wireMessage{Report: &wireReport{
			Task: msg.Report.Task, Token: msg.Report.Token, Outcome: int(msg.Report.Outcome),
			Took: msg.Report.Took.Microseconds(), Server: string(msg.Report.Server),
		}}
	case Configuration:
		return wireMessage{Configuration: msg.Data}
	}
	return wireMessage{}
}

func fromOrder(now time.Time, msg Order) *wireOrder {
	ord := &msg.Order
	wir := &wireOrder{
		Shard: string(msg.Shard), Token: msg.Token, Task: ord.Task, Service: ord.Service, Payload: ord.Payload,
		Processor: ord.Processor, Memory: ord.Memory, Priority: ord.Priority,
		Age: now.Sub(ord.Arrived).Microseconds(), Aim: ord.Aim.Sub(now).Microseconds(),
		Expected: ord.Expected.Microseconds(),
		Label:    ord.Label, Rack: ord.Rack, PerServer: ord.PerServer, Step: ord.Step,
		Bounce: ord.Bounce, Recall: ord.Recall, Followed: ord.Followed,
	}
	for _, id := range ord.Avoid {
		wir.Avoid = append(wir.Avoid, string(id))
	}
	return wir
}

// message returns nil for a message of a kind that this version does not know.
func (wir *wireMessage) message(now time.Time, from shard.InstanceID) Message {
	switch {
	case wir.Order != nil:
		return Order{Shard: shard.Name(wir.Order.Shard), Token: wir.Order.Token, Order: wir.Order.order(now, from)}
	case wir.Withdrawal != nil:
		return Withdrawal{
			Shard: shard.Name(wir.Withdrawal.Shard), Token: wir.Withdrawal.Token, Task: wir.Withdrawal.Task,
		}
	case wir.Report != nil:
		return Report{Report: shard.Report{
			Task: wir.Report.Task, Token: wir.Report.Token, Outcome: shard.Outcome(wir.Report.Outcome),
			Took: micros(wir.Report.Took), Server: shard.ServerID(wir.Report.Server),
		}}
	case wir.Configuration != nil:
		return Configuration{Data: wir.Configuration}
	}
	return nil
}

func (wir *wireOrder) order(now time.Time, from shard.InstanceID) shard.Order {
	ord := shard.Order{
		Task: wir.Task, Owner: from, Service: wir.Service, Payload: wir.Payload,
		Processor: wir.Processor, Memory: wir.Memory, Priority: wir.Priority,
		Arrived: now.Add(-micros(wir.Age)), Aim: now.Add(micros(wir.Aim)),
		Expected: micros(wir.Expected), Label: wir.Label, Rack: wir.Rack,
		PerServer: wir.PerServer, Step: wir.Step,
		Bounce: wir.Bounce, Recall: wir.Recall, Followed: wir.Followed,
	}
	for _, id := range wir.Avoid {
		ord.Avoid = append(ord.Avoid, shard.ServerID(id))
	}
	return ord
}

const milli = 1000

func micros(num int64) time.Duration { return time.Duration(num) * time.Microsecond }
