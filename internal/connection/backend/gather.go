package backend

import (
	"encoding/binary"
	"io"
	"net/http"
)

// prefixLen is the length of what precedes each message of a connect stream: flags and size.
const prefixLen = 5

// gatherer makes one HTTP/2 frame, and so one system call, of each message. Connect hands a message
// to the transport in two pieces, prefix and rest, and the transport flushes after each piece.
type gatherer struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (gth gatherer) RoundTrip(req *http.Request) (*http.Response, error) {
	if req.Body == nil || req.Body == http.NoBody {
		return gth.next.RoundTrip(req)
	}
	cpy := *req
	cpy.Body = &gatheredBody{ReadCloser: req.Body}
	return gth.next.RoundTrip(&cpy)
}

// gatheredBody passes every byte on unchanged, only in fewer pieces.
type gatheredBody struct {
	io.ReadCloser
	// Bytes of the current message that are still to come.
	left int
}

// Read implements io.Reader.
func (bdy *gatheredBody) Read(buf []byte) (int, error) {
	num, err := bdy.ReadCloser.Read(buf)
	if err != nil || bdy.left > 0 || num != prefixLen || len(buf) == prefixLen {
		bdy.left = max(0, bdy.left-num)
		return num, err
	}
	// The rest of the message is written right after its prefix, so this does not wait.
	more, err := bdy.ReadCloser.Read(buf[num:])
	bdy.left = int(binary.BigEndian.Uint32(buf[1:prefixLen])) - more
	return num + more, err
}
