package caller

import (
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/semaphore"

	"chestnutstack/internal/request/verdict"
)

const (
	// gateBytes bounds the bodies of the requests that are being answered, all callers together.
	gateBytes = 512 << 20
	// requestOverhead is charged for each request besides its body.
	requestOverhead = 4 << 10
	reasonBusy      = "entry-busy"
	busyRetry       = 200 * time.Millisecond
)

// Gate lets a request through only with a token that is known, and its body only as far as it fits into
// the instance's memory. The handlers would find out too, but after reading the body: a stranger could
// then make an instance hold 8 MB for each of thousands of streams.
func Gate(auth Authenticator, next http.Handler) http.Handler {
	room := semaphore.NewWeighted(gateBytes)
	wrt := connect.NewErrorWriter()
	return http.HandlerFunc(func(rsp http.ResponseWriter, req *http.Request) {
		if _, err := identify(auth, req.Header.Get(headerAuthorization)); err != nil {
			_ = wrt.Write(rsp, req, ToConnectError(err)) // The caller is gone; there is nobody to tell.
			return
		}
		if !room.TryAcquire(requestOverhead) {
			_ = wrt.Write(rsp, req, busy()) // The caller is gone; there is nobody to tell.
			return
		}
		bdy := &chargedBody{ReadCloser: req.Body, room: room, charged: requestOverhead}
		defer bdy.release()
		req.Body = bdy
		next.ServeHTTP(rsp, req)
	})
}

func busy() *connect.Error {
	return ToConnectError(verdict.New(verdict.NotRun, reasonBusy).WithRetryAfter(busyRetry))
}

// chargedBody takes room for what is read of a body, as it is read: streaming calls declare no length,
// and what a call declares need not be true.
type chargedBody struct {
	io.ReadCloser
	room    *semaphore.Weighted
	charged int64
}

// Read implements io.Reader. Without room its error is the refusal: no handler has seen the request yet.
func (bdy *chargedBody) Read(buf []byte) (int, error) {
	num, err := bdy.ReadCloser.Read(buf)
	if num == 0 {
		return 0, err
	}
	if !bdy.room.TryAcquire(int64(num)) {
		return 0, busy()
	}
	bdy.charged += int64(num)
	return num, err
}

func (bdy *chargedBody) release() { bdy.room.Release(bdy.charged) }
