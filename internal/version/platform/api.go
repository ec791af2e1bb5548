package platform

import (
	"context"
	"time"

	"chestnutstack/internal/request/job"
)

// Log is the platform's append-only log. Errors carry a verdict.
type Log interface {
	// Append adds records to a stream, all or none, and returns the offset of the first. After an
	// error whose verdict is may-have-run the records may be there, or may still turn up.
	Append(ctx context.Context, stream string, records [][]byte) (first uint64, err error)
	// Read returns up to limit records from an offset on, and waits up to wait for the first.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error)
}

// Instances is the platform's list of instances, which lags.
type Instances interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// Record is what the log keeps at an offset.
type Record struct {
	Offset uint64
	Data   []byte
}

// Page is a piece of a stream.
type Page struct {
	Records []Record
	// Next is the offset that follows the last record of the stream.
	Next uint64
	// Earliest is the oldest offset that is still kept.
	Earliest uint64
}

// InstanceKind tells entry instances from backend servers.
type InstanceKind int

const (
	// KindUnknown is a kind that this version does not know.
	KindUnknown InstanceKind = iota
	// KindEntry is an entry instance.
	KindEntry
	// KindBackendServer is a backend server.
	KindBackendServer
)

// Instance is one line of the list of instances.
type Instance struct {
	ID            string
	Incarnation   string
	Kind          InstanceKind
	Address       string
	PeerAddress   string
	FailureDomain string
	Rack          string
	Worker        string
	Leaving       bool
	Slots         uint32
	Capacity      job.Needs
}
