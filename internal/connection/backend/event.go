package backend

import "chestnutstack/internal/request/dispatch"

// EventKind says what happened on a link.
type EventKind int

const (
	// Up means that a session is made and that everything new goes over it. Report carries the
	// backend server's first report; an incarnation other than before means that the backend server
	// lost every task and every id that it knew.
	Up EventKind = iota + 1
	// Reported means that Report arrived.
	Reported
	// Down means that a session ended or could not be made.
	Down
)

// Event is what happened on a link to a backend server.
type Event struct {
	Kind   EventKind
	Server dispatch.ServerID
	// Report belongs to the receiver.
	Report dispatch.Report
	// NeverMade means that the session of a Down was never up. An older one may still be.
	NeverMade bool
	// Refused means that nobody listens at the address, which is why the session was never made. Any
	// other failure to make one says little: a backend server that answers with an error lives.
	Refused bool
	// Superseded means that the session of the event is not the one that new requests go over.
	Superseded bool
	// Unsent are the starts of a Down that were never given to the transport: they did not run.
	Unsent []dispatch.ServerTask
	// Err is why the session of a Down ended.
	Err error
}
