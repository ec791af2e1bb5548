package platformstandin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"chestnutstack/internal/version/platformpb"
)

// errUnavailable is what a refused call and a lost reply both look like: a caller must not be
// able to tell from the error whether its append had an effect.
var errUnavailable = errors.New("the platform is not available")

// gate holds the faults in force and what they do to calls.
type gate struct {
	mut    sync.Mutex
	faults *platformpb.Faults
	// changed is closed and replaced when the faults change.
	changed chan struct{}
	calls   int
	// Connections up to silentUpTo get no more answers.
	connections uint64
	silentUpTo  uint64
	done        chan struct{}
}

func newGate() *gate {
	return &gate{
		faults:  &platformpb.Faults{},
		changed: make(chan struct{}),
		done:    make(chan struct{}),
	}
}

type connectionKey struct{}

// connection numbers connections in the order in which they were opened.
func (gat *gate) connection(ctx context.Context, _ net.Conn) context.Context {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	gat.connections++
	return context.WithValue(ctx, connectionKey{}, gat.connections)
}

func (gat *gate) set(faults *platformpb.Faults) {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	gat.faults = proto.Clone(faults).(*platformpb.Faults)
	if faults.GetSilentConnections() {
		gat.silentUpTo = gat.connections
	}
	close(gat.changed)
	gat.changed = make(chan struct{})
}

// current returns the faults in force, which must not be changed, and a channel that is closed
// when they change.
func (gat *gate) current() (*platformpb.Faults, <-chan struct{}) {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	return gat.faults, gat.changed
}

func (gat *gate) silent(ctx context.Context) bool {
	num, ok := ctx.Value(connectionKey{}).(uint64)
	if !ok {
		return false
	}
	gat.mut.Lock()
	defer gat.mut.Unlock()
	return num <= gat.silentUpTo
}

func (gat *gate) close() {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	select {
	case <-gat.done:
	default:
		close(gat.done)
	}
}

func (gat *gate) take() bool {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	if gat.calls >= maxCalls {
		return false
	}
	gat.calls++
	return true
}

func (gat *gate) release() {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	gat.calls--
}

// enter waits while calls stall and refuses while they are refused. A caller that gives up on a
// stalled call does not take it back: the call goes on, as it would in a real server's queue.
func (gat *gate) enter() error {
	for {
		flt, chd := gat.current()
		if flt.GetRefuse() {
			return connect.NewError(connect.CodeUnavailable, errUnavailable)
		}
		if !flt.GetStall() {
			return nil
		}
		select {
		case <-chd:
		case <-gat.done:
			return connect.NewError(connect.CodeUnavailable, errUnavailable)
		}
	}
}

// leave delays the answer to a call that has had its effect, and loses it if replies are lost.
func (gat *gate) leave(ctx context.Context) error {
	flt, _ := gat.current()
	if del := flt.GetDelay().AsDuration(); del > 0 {
		gat.sleep(ctx, del)
	}
	if flt.GetLoseReplies() {
		return connect.NewError(connect.CodeUnavailable, errUnavailable)
	}
	return nil
}

func (gat *gate) sleep(ctx context.Context, dur time.Duration) {
	tmr := time.NewTimer(dur)
	defer tmr.Stop()
	select {
	case <-tmr.C:
	case <-ctx.Done():
	case <-gat.done:
	}
}

// wrap makes silent connections silent: the call takes effect, but its answer never leaves. The
// wait ends when the caller gives up or the stand-in is closed.
func (gat *gate) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
		if !gat.take() {
			wrt.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer gat.release()
		next.ServeHTTP(&silencer{ResponseWriter: wrt, gate: gat, ctx: req.Context()}, req)
	})
}

// silencer holds back the answer of a call on a silent connection. The check stands at the
// answer, not at the request, so that a long poll that was open when its connection went silent
// gets no answer either.
type silencer struct {
	http.ResponseWriter
	gate *gate
	ctx  context.Context //nolint:containedctx // It lives no longer than its request.
}

// Unwrap lets http.ResponseController reach the writer behind.
func (sil *silencer) Unwrap() http.ResponseWriter { return sil.ResponseWriter }

// Flush implements http.Flusher.
func (sil *silencer) Flush() {
	sil.hold()
	if flu, ok := sil.ResponseWriter.(http.Flusher); ok {
		flu.Flush()
	}
}

// WriteHeader implements http.ResponseWriter.
func (sil *silencer) WriteHeader(status int) {
	sil.hold()
	sil.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (sil *silencer) Write(dat []byte) (int, error) {
	sil.hold()
	return sil.ResponseWriter.Write(dat)
}

func (sil *silencer) hold() {
	if !sil.gate.silent(sil.ctx) {
		return
	}
	select {
	case <-sil.ctx.Done():
	case <-sil.gate.done:
	}
	// Not even an empty answer may leave once the wait is over.
	panic(http.ErrAbortHandler)
}
