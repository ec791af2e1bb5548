package mesh

import "slices"

const (
	// maxFrame bounds a call between two instances, in bytes as the connection carries it.
	maxFrame = 16 << 20
	// frameOverhead is what a call has besides its messages: the heartbeat of an instance that leads many shards, and the frame itself.
	frameOverhead = 1 << 20
	// maxMessage is the size of the largest message: base64, in a call, encodes three bytes as four.
	maxMessage = (maxFrame - frameOverhead) / 4 * 3
	// maxBatch bounds the messages of a batch, apart from a single larger one. A batch is held several times while it is encoded and
	// decoded, and sent anew as a whole after a lost receipt.
	maxBatch = 256 << 10
	// messageOverhead is what a message has besides its texts and data: some 20 numbers of up to ten bytes, and the keys of its fields.
	messageOverhead = 256
	// elementOverhead is what each element of a list in a message has besides its text.
	elementOverhead = 32
)

// messageBytes returns how many bytes a message takes in a batch at most, without an order's payload, which equal orders share.
func messageBytes(msg Message) int {
	num := messageOverhead
	switch msg := msg.(type) {
	case Order:
		ord := &msg.Order
		num += len(msg.Shard) + len(ord.Task) + len(ord.Service) + len(ord.Label) + len(ord.Rack) + len(ord.Step) + len(ord.LastServer)
		for _, id := range ord.Avoid {
			num += len(id) + elementOverhead
		}
	case Cancellation:
		num += len(msg.Shard) + len(msg.Task)
	case Report:
		num += len(msg.Report.Task) + len(msg.Report.Server) + len(msg.Report.NewOwner)
	case LossNotice:
		num += len(msg.Instance)
	case JobQuery:
		num += len(msg.Route) + len(msg.Job)
	case ServerSpeeds:
		for _, spd := range msg.Told.Speeds {
			num += len(spd.Server) + elementOverhead
		}
	case ServerChanges:
		num += len(msg.Data)
	case ServerList:
		num += len(msg.Data)
	case Configuration:
		num += len(msg.Data)
	}
	return num
}

// payloads are the different payloads of orders, each of which a batch has once.
type payloads map[string]struct{}

// add returns by how many bytes a message's payload makes a batch larger.
func (pls payloads) add(msg Message) int {
	ord, ok := msg.(Order)
	if !ok {
		return 0
	}
	if _, known := pls[ord.Order.Payload]; known {
		return 0
	}
	pls[ord.Order.Payload] = struct{}{}
	return len(ord.Order.Payload)
}

// batchLength returns how many of the first messages a batch has: at least one, and no more than fit into maxBatch.
func batchLength(msgs []Message) int {
	pls, size := payloads{}, 0
	for num, msg := range msgs {
		size += messageBytes(msg) + pls.add(msg)
		if num > 0 && size > maxBatch {
			return num
		}
	}
	return len(msgs)
}

// payloadBytes returns the size of the different payloads of messages.
func payloadBytes(msgs []Message) int64 {
	pls, size := payloads{}, 0
	for _, msg := range msgs {
		size += pls.add(msg)
	}
	return int64(size)
}

// takeBatch moves the first messages of the outbox to the batch in flight, which gets the next sequence number, and returns by how many bytes the
// payloads of all messages grow: one that some of the others have, too, is sent once more.
func (per *peer) takeBatch() (bytes int64) {
	before := per.outboxBytes
	num := batchLength(per.outbox)
	per.inFlight, per.outbox = per.outbox[:num:num], slices.Clone(per.outbox[num:])
	per.numbered = true
	per.sentSequence++
	per.inFlightBytes, per.outboxBytes = before, 0
	if len(per.outbox) > 0 {
		per.inFlightBytes, per.outboxBytes = payloadBytes(per.inFlight), payloadBytes(per.outbox)
	}
	return per.inFlightBytes + per.outboxBytes - before
}
