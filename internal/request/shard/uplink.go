package shard

import (
	"time"

	"chestnutstack/internal/request/roundtrip"
)

// Uplink bounds the bytes of payloads that are under way from one instance to backend servers and to other instances; all its
// leaders and its callers' jobs share it.
//
// It answers a load whose payloads need more than the instance's link carries for a while. Sent all at once, the starts of
// some jobs of 20 KB take longer than any timeout on a link of 2 Mbit/s; heartbeats and leases wait behind them, leaders
// are missed that are fine, their orders are sent again, and the system never comes back. A start that is not sent has
// surely not run: it waits in the queue, where it can be called back, and what keeps the system together passes it by.
type Uplink struct {
	// window is what may be under way, inFlight what is on its way to servers, peers to other instances; all in bytes.
	window, inFlight, peers int64
	// queued are the bytes that wait here for the link.
	queued int64
	// largest is how long the largest usual payload takes on the link.
	largest time.Duration
	// answers are the times that starts take.
	answers roundtrip.Estimator
}

const (
	// startOverhead is what a start has besides its payload, in bytes: headers, names and what the network adds.
	startOverhead = 500
	// queueTime is how long a start may wait on the link for others: a fifth of the interval of heartbeats. Shorter than the
	// largest usual payload takes on 2 Mbit/s, 12 ms, the link would stand idle between two starts.
	queueTime = 20 * time.Millisecond
	// largestPayload is that of a job, in bytes (4,000, the platform's pages), with what a start has besides.
	largestPayload = 4500
	// unbounded is the window, in bytes, of an instance that is not told what its link carries.
	unbounded = 4 << 20
	// orderTimes is how many times the largest payload an order may wait for.
	orderTimes = 3
	// leastPatience is some 15 times what a sound server takes to answer, and what an instance may be held up on a fifth of a
	// core; an order that is sent again too early does no harm. mostPatience is half a lease.
	leastPatience = 40 * time.Millisecond
	mostPatience  = 300 * time.Millisecond
)

// NewUplink returns the bounds of an instance whose link carries so many bytes a second; 0 if that is not known.
func NewUplink(perSecond int64) *Uplink {
	if perSecond <= 0 {
		return &Uplink{window: unbounded}
	}
	return &Uplink{
		window:  int64(float64(perSecond) * queueTime.Seconds()),
		largest: time.Duration(float64(largestPayload) / float64(perSecond) * float64(time.Second)),
	}
}

// Patience is how long to wait for an answer to an order before it is taken for lost. On a narrow link an order waits behind two of
// the largest; sent again too early, it would only fill the link more.
func (upl *Uplink) Patience() time.Duration {
	return upl.answers.Timeout(leastPatience+orderTimes*upl.largest, mostPatience)
}

// SetPeers tells the bytes that are on their way to other instances.
func (upl *Uplink) SetPeers(num int64) { upl.peers = num }

// Sends notes an order with a payload that is about to be sent to another instance; the next SetPeers counts it.
func (upl *Uplink) Sends(payload string) { upl.peers += StartBytes(payload) }

// Fits reports whether a start, or an order to another instance, with a payload may be sent now. The largest goes when nothing
// else is under way.
func (upl *Uplink) Fits(payload string) bool {
	return upl.busy() == 0 || upl.busy()+StartBytes(payload) <= upl.window
}

func (upl *Uplink) busy() int64 { return upl.inFlight + upl.peers }

// SetQueued tells the bytes that wait here for the link.
func (upl *Uplink) SetQueued(num int64) { upl.queued = num }

// Delay returns how long some bytes wait for the link, besides what is under way and what waits already.
func (upl *Uplink) Delay(bytes int64) time.Duration {
	return linkDelay(upl.window, upl.busy()+upl.queued+bytes)
}

// linkDelay returns how long the last of some bytes wait for a link that takes a window of bytes in queueTime.
func linkDelay(window, bytes int64) time.Duration {
	return time.Duration(float64(queueTime) * float64(max(0, bytes-window)) / float64(max(window, 1)))
}

// StartBytes is what a start with a payload puts on the link.
func StartBytes(payload string) int64 { return int64(len(payload)) + startOverhead }

func (upl *Uplink) sent(payload string) { upl.inFlight += StartBytes(payload) }

// Answered takes in the time of a start. One without an answer while the link was full most likely still waits there; while it
// was free, it tells nothing of the link, and must not make the next loss be noticed later.
func (upl *Uplink) Answered(payload string, took time.Duration, vdt Verdict) {
	full := upl.busy()+StartBytes(payload) > upl.window
	upl.inFlight -= StartBytes(payload)
	if vdt == Accepted || vdt == Unknown && full {
		upl.answers.Observe(took)
	}
}
