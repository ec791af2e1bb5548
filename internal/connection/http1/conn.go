package http1

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// listener accepts connections for a Server.
type listener struct {
	net.Listener
	srv *Server
}

// Accept implements net.Listener.
func (lis listener) Accept() (net.Conn, error) {
	con, err := lis.Listener.Accept()
	if err != nil {
		return nil, err
	}
	cnn := &conn{Conn: con, srv: lis.srv}
	lis.srv.decide(func(tab *table) []closing { return tab.Open(cnn) })
	return cnn, nil
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	srv *Server
}

// NetConn returns the connection inside.
func (cnn *conn) NetConn() net.Conn { return cnn.Conn }

// errTurnedAway is the error of reads from a connection that is closed for its limits.
var errTurnedAway = errors.New("the connection was closed for its limits")

// refusals are the answers to requests whose heads aren't read to their end.
var refusals = map[Reason]string{
	LargeHead:   "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	OutOfMemory: "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
}

// Read implements net.Conn.
func (cnn *conn) Read(buf []byte) (int, error) {
	num, err := cnn.Conn.Read(buf)
	if num == 0 {
		return 0, err
	}
	turnedAway := false
	for _, one := range cnn.srv.apply(func(tab *table) []closing { return tab.Receive(cnn, num) }) {
		if one.Conn == cnn {
			turnedAway = true
			_ = cnn.SetWriteDeadline(time.Now().Add(refusalTimeout))
			_, _ = cnn.Write([]byte(refusals[one.Reason])) // A client that doesn't take it isn't waited for.
		}
		_ = one.Conn.Conn.Close() // Its reader finds out, also if it was closed already.
	}
	if turnedAway {
		// An error of the network has net/http answer nothing itself.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errTurnedAway}
	}
	return num, err
}

// refusalTimeout bounds the writing of a refusal, which fits into the kernel's buffer unless the client takes none of its answers.
const refusalTimeout = 10 * time.Millisecond

// Close implements net.Conn.
func (cnn *conn) Close() error {
	cnn.srv.note(func(tab *table) { tab.Close(cnn) })
	return cnn.Conn.Close()
}

// charge takes room for bytes of a body, or gives it back if num is negative.
func (cnn *conn) charge(num int) error {
	return cnn.makeRoom(int64(num), func(tab *table) ([]closing, bool) { return tab.Charge(cnn, int64(num)) })
}

// makeRoom passes the Table to fnc, which takes room for bytes and returns whether there was any, and closes the connections that it returns.
func (cnn *conn) makeRoom(bytes int64, fnc func(tab *table) ([]closing, bool)) error {
	var err error
	cnn.srv.decide(func(tab *table) []closing {
		cls, fits := fnc(tab)
		switch {
		case fits:
		case tab.Has(cnn):
			err = &NoRoomError{retryAfter: tab.Wait(bytes)}
		default:
			err = ErrBrokenOff
		}
		return cls
	})
	return err
}
