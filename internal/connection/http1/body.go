package http1

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// NoRoomError is the error for a request that doesn't fit into the limits of a Server as the requests of other clients take them.
type NoRoomError struct{ retryAfter time.Duration }

// Error implements error.
func (*NoRoomError) Error() string { return "too many requests are open" }

// RetryAfter returns the time after which the request fits, unless other clients come first.
func (err *NoRoomError) RetryAfter() time.Duration { return err.retryAfter }

// ErrBrokenOff is the error for a body whose connection has ended, as its client left or as it was closed for its limits. It is counted already, and nobody
// waits for an answer.
var ErrBrokenOff = errors.New("the connection ended in the middle of the body")

// smallestBody is the room that is taken for a body at first; it doubles as the body comes.
const smallestBody = 1 << 10

// ReadBody reads the body of a request, which has to come within timeout and is charged to the limits of the Server until the request is answered. A
// request that didn't come through a Server has no limits.
func ReadBody(req *http.Request, timeout time.Duration) ([]byte, error) {
	cnn := connOf(req.Context())
	if cnn == nil {
		return io.ReadAll(req.Body)
	}
	if err := cnn.makeRoom(0, func(tab *table) ([]closing, bool) { return nil, tab.HasPlace() }); err != nil {
		return nil, err
	}
	cnn.srv.note(func(tab *table) { tab.BeginBody(cnn, timeout) })
	body := []byte(nil)
	for {
		if len(body) == cap(body) {
			size := max(smallestBody, 2*cap(body))
			if rest := req.ContentLength + 1; rest > int64(len(body)) {
				size = int(min(int64(size), rest)) // One more than there is, for the end to be read.
			}
			if err := cnn.charge(size); err != nil {
				return nil, err
			}
			former := cap(body)
			body = append(make([]byte, 0, size), body...)
			_ = cnn.charge(-former) // There is always room for less.
		}
		num, err := req.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+num]
		if errors.Is(err, io.EOF) {
			cnn.srv.note(func(tab *table) { tab.Decode(cnn) })
			return body, nil
		}
		if hasEnded(err) {
			cnn.srv.decide(func(tab *table) []closing { return tab.BreakOff(cnn) })
			return nil, ErrBrokenOff
		}
		if err != nil {
			return nil, err
		}
	}
}

// hasEnded reports whether an error of reading a body means that its connection has ended.
func hasEnded(err error) bool {
	var network *net.OpError
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network)
}

// Take takes a request that was read whole, if there is room for the bytes that it holds until it is answered, which it is within timeout. From then on
// its connection isn't closed for others. A request that didn't come through a Server is always taken.
func Take(req *http.Request, bytes int64, timeout time.Duration) error {
	cnn := connOf(req.Context())
	if cnn == nil {
		return nil
	}
	return cnn.makeRoom(bytes, func(tab *table) ([]closing, bool) { return tab.Take(cnn, bytes, timeout) })
}

// lingerTime is how long the rest of a refused request is read, so that its client gets the answer before the connection is closed.
const lingerTime = 500 * time.Millisecond

// Abandon has the connection closed once the answer is written; the rest of the request is read for a moment only.
func Abandon(wrt http.ResponseWriter) {
	wrt.Header().Set("Connection", "close")
	_ = http.NewResponseController(wrt).SetReadDeadline(time.Now().Add(lingerTime)) // Not every writer has one.
}
