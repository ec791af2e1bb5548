package member

import (
	"time"

	"chestnutstack/internal/request/dispatch"
)

// Kind tells entry instances and backend servers apart.
type Kind int

const (
	// KindEntry is an entry instance.
	KindEntry Kind = iota + 1
	// KindServer is a backend server.
	KindServer
)

// State is what is known of one incarnation of an instance; of two states of the same epoch the
// higher one counts, so that the earliest evidence of leaving does.
type State int

const (
	// Alive means that the instance was heard or is listed.
	Alive State = iota + 1
	// Suspect means that a call timed out: the process or the way to it may be gone.
	Suspect
	// Leaving means that the instance said that it takes no new work.
	Leaving
	// Gone means proof that the process ended: a refused connection or its own last word.
	Gone
)

// Fact is one piece of evidence that entry instances pass on.
type Fact struct {
	ID          string
	Kind        Kind
	Incarnation string
	// Replaces is the incarnation that this one followed, if that is known.
	Replaces string
	// Epoch is raised by the instance itself to contradict a Suspect or Gone that it heard of.
	Epoch uint32
	State State
	// Age is how long ago the evidence was found; facts past the lifetime are dropped.
	Age time.Duration
	// PeerAddress and FailureDomain are set for entry instances.
	PeerAddress   string
	FailureDomain string
}

// Heartbeat is what two entry instances tell each other, as request and as reply.
type Heartbeat struct {
	From        dispatch.PeerID
	Incarnation string
	// CatalogueOffset is the next catalogue offset of the sender.
	CatalogueOffset uint64
	// Digest is the exclusive or of the hashes of all facts of the sender.
	Digest uint64
	// Buckets are the digests by bucket; a reply has them if the digests differ.
	Buckets []uint32
	// Want lists the buckets whose facts the sender asks for.
	Want  []uint32
	Facts []Fact
}
