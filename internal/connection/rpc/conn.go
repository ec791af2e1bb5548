package rpc

import (
	"net"
	"sync/atomic"
	"time"
)

// Stats are the bytes read and written by one end of the transport, and the calls counted by CountCall, since its start.
type Stats struct {
	BytesIn  uint64
	BytesOut uint64
	Calls    uint64
}

// Counters counts the bytes and calls of one end of the transport. It is safe for concurrent use.
type Counters struct {
	in    atomic.Uint64
	out   atomic.Uint64
	calls atomic.Uint64
}

// CountCall counts one call. Whoever makes a call, or opens a connection that counts as one, calls it; a Conn counts only bytes.
func (cnt *Counters) CountCall() { cnt.calls.Add(1) }

// Stats returns the bytes and calls so far.
func (cnt *Counters) Stats() Stats {
	return Stats{BytesIn: cnt.in.Load(), BytesOut: cnt.out.Load(), Calls: cnt.calls.Load()}
}

// Conn is a connection that counts its bytes and notes when the peer last sent any.
//
// Each write has a deadline: a peer that no longer reads lets the socket's buffer fill up, and jsonrpc2 then holds its send lock
// for good, so that every later call on the connection would wait beyond its own timeout. After the deadline the write fails and
// the connection is closed.
type Conn struct {
	net.Conn
	cnt          *Counters
	writeTimeout time.Duration
	start        time.Time
	lastRead     atomic.Int64
}

// WrapConn returns a connection that counts its bytes in cnt and bounds the time of each write; 0 sets no bound.
func WrapConn(con net.Conn, cnt *Counters, writeTimeout time.Duration) *Conn {
	return &Conn{Conn: con, cnt: cnt, writeTimeout: writeTimeout, start: time.Now()}
}

// NetConn returns the connection inside.
func (wcn *Conn) NetConn() net.Conn { return wcn.Conn }

// Read implements net.Conn.
func (wcn *Conn) Read(buf []byte) (int, error) {
	num, err := wcn.Conn.Read(buf)
	if num > 0 {
		wcn.cnt.in.Add(uint64(num))
		wcn.lastRead.Store(int64(time.Since(wcn.start)))
	}
	return num, err
}

// Write implements net.Conn.
func (wcn *Conn) Write(buf []byte) (int, error) {
	if wcn.writeTimeout > 0 {
		if err := wcn.SetWriteDeadline(time.Now().Add(wcn.writeTimeout)); err != nil {
			return 0, err
		}
	}
	num, err := wcn.Conn.Write(buf)
	wcn.cnt.out.Add(uint64(num))
	if err != nil {
		_ = wcn.Close() // Only the error of the write is returned.
	}
	return num, err
}

// ReceivedSince reports whether anything that the peer sent was read after a time.
func (wcn *Conn) ReceivedSince(tim time.Time) bool {
	return wcn.lastRead.Load() > int64(tim.Sub(wcn.start))
}
