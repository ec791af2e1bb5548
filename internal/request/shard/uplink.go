package shard

import (
	"time"

	"chestnutstack/internal/request/roundtrip"
)

// Uplink limits the bytes of payloads in flight from one instance to backend servers and to other instances. All leaders and jobs of the
// instance share it.
//
// This is for loads whose payloads exceed the capacity of the instance's link for a while. Sent all at once, the starts of some jobs of 20
// KB take longer than any timeout on a link of 2 Mbit/s. Heartbeats and lease renewals would wait behind them, sound leaders would be taken
// for lost, their orders would be sent again, and the system would never recover. A start that is not sent has certainly not run: it waits
// in the queue, where its owner can recall it, and does not delay heartbeats and renewals.
type Uplink struct {
	// window is the limit of bytes in flight; inFlight are in flight to backend servers, peerBytes to other instances.
	window, inFlight, peerBytes int64
	// queuedBytes wait on this instance for the link.
	queuedBytes int64
	// largestTime is how long the largest usual payload takes on the link.
	largestTime time.Duration
	// answerTimes estimates how long starts take to be answered.
	answerTimes roundtrip.Estimator
}

const (
	// startOverhead is the size of a start besides its payload, in bytes: headers, names and the network's overhead.
	startOverhead = 500
	// queueTime is how long a start may wait on the link for others: a fifth of the heartbeat interval. Were it shorter than the transfer
	// time of the largest usual payload, 12 ms at 2 Mbit/s, the link would be idle between two starts.
	queueTime = 20 * time.Millisecond
	// largestPayload is the size of a job's largest start, in bytes: a payload of 4,000 (from the platform's documentation) and overhead.
	largestPayload = 4500
	// unbounded is the window, in bytes, if the capacity of the link is not configured.
	unbounded = 4 << 20
	// answerLargestTimes is how many transfer times of the largest payload are added to the wait for an answer.
	answerLargestTimes = 3
	// minAnswerTimeout is about 15 times a sound server's answer time, and the pause that an instance may have on a fifth of a core;
	// sending an order again too early does no harm. maxAnswerTimeout is half a lease.
	minAnswerTimeout = 40 * time.Millisecond
	maxAnswerTimeout = 300 * time.Millisecond
)

// NewUplink returns the limits for a link that carries perSecond bytes per second; 0 means unknown.
func NewUplink(perSecond int64) *Uplink {
	if perSecond <= 0 {
		return &Uplink{window: unbounded}
	}
	return &Uplink{
		window:      int64(float64(perSecond) * queueTime.Seconds()),
		largestTime: time.Duration(float64(largestPayload) / float64(perSecond) * float64(time.Second)),
	}
}

// AnswerTimeout returns how long to wait for an answer to an order before it is sent again. On a narrow link an order waits behind two of
// the largest payloads; sending it again too early would only fill the link more.
func (upl *Uplink) AnswerTimeout() time.Duration {
	return upl.answerTimes.Timeout(minAnswerTimeout+answerLargestTimes*upl.largestTime, maxAnswerTimeout)
}

// SetPeerBytes sets how many bytes are in flight to other instances.
func (upl *Uplink) SetPeerBytes(num int64) { upl.peerBytes = num }

// Sends counts an order about to be sent to another instance, until the next SetPeerBytes includes it.
func (upl *Uplink) Sends(payload string) { upl.peerBytes += StartBytes(payload) }

// Fits reports whether a start, or an order to another instance, with a payload may be sent now. A payload larger than the window is sent
// when nothing else is in flight.
func (upl *Uplink) Fits(payload string) bool {
	return upl.busyBytes() == 0 || upl.busyBytes()+StartBytes(payload) <= upl.window
}

// busyBytes returns how many bytes are in flight.
func (upl *Uplink) busyBytes() int64 { return upl.inFlight + upl.peerBytes }

// SetQueuedBytes sets how many bytes wait on this instance for the link.
func (upl *Uplink) SetQueuedBytes(num int64) { upl.queuedBytes = num }

// Delay returns how long a number of bytes would wait for the link, behind those in flight and those that wait already.
func (upl *Uplink) Delay(bytes int64) time.Duration {
	return linkDelay(upl.window, upl.busyBytes()+upl.queuedBytes+bytes)
}

// linkDelay returns how long the last of a number of bytes waits for a link that carries window bytes per queueTime.
func linkDelay(window, bytes int64) time.Duration {
	return waitOf(float64(queueTime) * float64(max(0, bytes-window)) / float64(max(window, 1)))
}

// StartBytes returns how many bytes a start with a payload sends.
func StartBytes(payload string) int64 { return int64(len(payload)) + startOverhead }

// noteStart counts a start as in flight until HandleStartResult.
func (upl *Uplink) noteStart(payload string) { upl.inFlight += StartBytes(payload) }

// HandleStartResult records that a start's call is over after took. A start without an answer on a full link most likely still waits there,
// so its time counts; on a free link it says nothing about the link, and must not delay the detection of the next loss.
func (upl *Uplink) HandleStartResult(payload string, took time.Duration, res CallResult) {
	full := upl.busyBytes()+StartBytes(payload) > upl.window
	upl.inFlight -= StartBytes(payload)
	if res == Accepted || res == Unknown && full {
		upl.answerTimes.Observe(took)
	}
}
