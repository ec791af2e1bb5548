package peer

import (
	"context"
	"crypto/tls"
	"time"

	"chestnutstack/internal/connection/member"
	"chestnutstack/internal/request/callerpb"
	"chestnutstack/internal/request/dispatch"
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/request/limit"
)

// Identity is how an entry instance names itself in a hello.
type Identity struct {
	ID          dispatch.PeerID
	Incarnation string
}

// Target is the peer that a call goes to.
type Target struct {
	ID      dispatch.PeerID
	Address string
}

// Record is one record of the catalogue's stream, as the platform's log keeps it.
type Record struct {
	Offset uint64
	Data   []byte
}

// Records answers CatalogueSince.
type Records struct {
	Records []Record
	// Next is the offset that follows the last record that the peer knows.
	Next uint64
	// Earliest is the oldest offset that the peer still has.
	Earliest uint64
}

// Snapshot is the catalogue of a peer as of an offset.
type Snapshot struct {
	Offset uint64
	Data   []byte
}

// Handler is what an entry instance answers its peers with. Errors that carry a verdict reach the
// peer with it.
type Handler interface {
	Heartbeat(ctx context.Context, hb member.Heartbeat) (member.Heartbeat, error)
	Borrow(ctx context.Context, bor dispatch.Borrow) (dispatch.Grant, error)
	Grant(ctx context.Context, grt dispatch.Grant) error
	Return(ctx context.Context, ret dispatch.Return) error
	BorrowUnits(ctx context.Context, bor limit.Borrow) (limit.Grant, error)
	GrantUnits(ctx context.Context, grt limit.Grant) error
	ReturnUnits(ctx context.Context, ret limit.Return) error
	HandOver(ctx context.Context, hov limit.HandOver) error
	JobGet(ctx context.Context, id job.ID) (*callerpb.Progress, error)
	JobCancel(ctx context.Context, id job.ID) (*callerpb.Progress, error)
	JobAwait(ctx context.Context, id job.ID) (*callerpb.Progress, error)
	FindSubmission(ctx context.Context, sub job.SubmissionID) (id job.ID, found bool, err error)
	CatalogueSince(ctx context.Context, offset uint64) (Records, error)
	CatalogueSnapshot(ctx context.Context) (Snapshot, error)
	PoolList(ctx context.Context) ([]member.Instance, error)
	JobAgain(ctx context.Context, id job.ID) (*callerpb.SubmitRequest, error)
}

// Config holds what both ends of the peer transport need.
type Config struct {
	Self  Identity
	Token string
	// TLS is nil for plain TCP.
	TLS *tls.Config
	// DialTimeout bounds the dial and the hello together.
	DialTimeout time.Duration
	// CallTimeout bounds every call but JobAwait, which its context bounds.
	CallTimeout time.Duration
	// MaxMessage bounds the bytes of one message.
	MaxMessage int
	// MaxCalls bounds the calls in progress on one connection.
	MaxCalls int
	// MaxConns bounds the connections that a Server accepts.
	MaxConns int
}

// DefaultConfig returns the bounds that are used unless settings say otherwise.
func DefaultConfig(self Identity, token string) Config {
	return Config{
		Self:        self,
		Token:       token,
		DialTimeout: 2 * time.Second,
		CallTimeout: 2 * time.Second,
		MaxMessage:  16 << 20,
		MaxCalls:    1024,
		MaxConns:    1024,
	}
}

type forwardedKey struct{}

// Forwarded reports whether the request came from a peer, so that it must not be forwarded again.
func Forwarded(ctx context.Context) bool {
	return ctx.Value(forwardedKey{}) != nil
}

func withForwarded(ctx context.Context) context.Context {
	return context.WithValue(ctx, forwardedKey{}, true)
}

type askerKey struct{}

// Asker returns the entry instance whose request is being answered, or "" outside of one.
func Asker(ctx context.Context) dispatch.PeerID {
	id, _ := ctx.Value(askerKey{}).(dispatch.PeerID)
	return id
}

func withAsker(ctx context.Context, id dispatch.PeerID) context.Context {
	return context.WithValue(ctx, askerKey{}, id)
}
