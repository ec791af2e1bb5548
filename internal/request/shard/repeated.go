package shard

import "time"

// NoteRepeatedOrder describes an order that has met another one of its task at this leader.
type NoteRepeatedOrder struct {
	Task string
	// Owner has sent the order, FormerOwner the one that was here, which first came FormerAge ago. Cancelled is set if that one was being ended.
	Owner, FormerOwner InstanceID
	FormerAge          time.Duration
	Cancelled          bool
	// Followed is set if the order was with a former leader.
	Followed bool
	// Run is the former order's run on Server, if it has one. Stopped is set if it is being stopped.
	Run     RunID
	Server  ServerID
	Stopped bool
	// Kept is set if the former order stays, as its job was submitted later.
	Kept bool
}

// NoteAdoption describes an order that was connected to a run which a former leader started.
type NoteAdoption struct {
	Task   string
	Owner  InstanceID
	Server ServerID
	Run    RunID
	// Found is how long ago the server first listed the run. Ended is set if it is done, Stopped if it is being stopped.
	Found          time.Duration
	Ended, Stopped bool
}

func (NoteRepeatedOrder) action() {}
func (NoteAdoption) action()      {}

// describeRepeated describes an order that meets another one of its task, before it is handled; nil for a recall.
func describeRepeated(now time.Time, old *order, req *Order) *NoteRepeatedOrder {
	if req.Recall {
		return nil
	}
	note := &NoteRepeatedOrder{
		Task: req.Task, Owner: req.Owner, FormerOwner: old.Owner, FormerAge: now.Sub(old.receivedAt), Cancelled: old.cancelled, Followed: req.Reassigned,
	}
	if old.run != nil {
		note.Run, note.Server = old.run.id, old.srv.ent.ID
	}
	return note
}

// noteRepeated emits the description of an order that has met another one, once it was handled.
func (ldr *Leader) noteRepeated(note *NoteRepeatedOrder, old *order) {
	if note == nil {
		return
	}
	note.Stopped = old.run != nil && old.run.state == ending
	note.Kept = old.Owner != note.Owner
	ldr.emit(*note)
}
