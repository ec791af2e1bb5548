package rpc

import (
	"net"
	"sync/atomic"
	"time"
)

// Stats are counters of one end of the transport since its start.
type Stats struct {
	BytesIn  uint64
	BytesOut uint64
	Calls    uint64
}

// Counters count what passes one end of the transport; they are safe for concurrent use.
type Counters struct {
	in    atomic.Uint64
	out   atomic.Uint64
	calls atomic.Uint64
}

// CountCall counts a call.
func (cnt *Counters) CountCall() { cnt.calls.Add(1) }

// Stats returns the bytes and calls so far.
func (cnt *Counters) Stats() Stats {
	return Stats{BytesIn: cnt.in.Load(), BytesOut: cnt.out.Load(), Calls: cnt.calls.Load()}
}

// Conn counts bytes and notes when the peer was last heard.
//
// Each write has a deadline: a peer that reads no more fills the socket's buffer, and the library
// then holds its send lock for good, so that every later call on the connection would wait past its
// own timeout. After the deadline the write fails and the connection is closed.
type Conn struct {
	net.Conn
	cnt          *Counters
	writeTimeout time.Duration
	start        time.Time
	lastRead     atomic.Int64
}

// WrapConn returns a connection that counts, and bounds the time of each write unless the bound is 0.
func WrapConn(con net.Conn, cnt *Counters, writeTimeout time.Duration) *Conn {
	return &Conn{Conn: con, cnt: cnt, writeTimeout: writeTimeout, start: time.Now()}
}

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
		_ = wcn.Close() // The write's error is the one that counts.
	}
	return num, err
}

// ReceivedSince reports whether the peer sent anything after a time.
func (wcn *Conn) ReceivedSince(tim time.Time) bool {
	return wcn.lastRead.Load() > int64(tim.Sub(wcn.start))
}
