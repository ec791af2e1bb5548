package pipe

import (
	"slices"
	"time"
)

// Stall makes a host's process stand still, as one that gets no processor: what is sent to it or by it waits in kernels, and
// connections to it are taken there. Resume delivers all of that, also what its sender has given up on.
func (ntw *Network) Stall(host string) {
	ntw.mu.Lock()
	defer ntw.mu.Unlock()
	ntw.stalled[host] = true
	for _, con := range ntw.conns {
		if con.from == host || con.to == host {
			con.setHeld()
		}
	}
}

// Resume lets a host's process go on. The order in which it reads its sockets is left to the scheduler.
func (ntw *Network) Resume(host string) { ntw.ResumeInOrder(host, WakeOrder{}) }

// WakeOrder says when what was sent to a process meanwhile, over connections of that time, reaches it as it goes on, counted from that moment.
type WakeOrder struct {
	// Bytes is when the process reads what was sent.
	Bytes time.Duration
	// Known is when its kernel has the ends of connections, 0 if it had them before; Read is when the process reads them, after all that was sent
	// before. With a Read of 0 both are when the process happens to read them.
	Known, Read time.Duration
}

// ResumeInOrder is Resume for a process whose sockets are read in a given order.
func (ntw *Network) ResumeInOrder(host string, ord WakeOrder) {
	ntw.mu.Lock()
	defer ntw.mu.Unlock()
	delete(ntw.stalled, host)
	if now := time.Now(); ord != (WakeOrder{}) {
		for _, con := range ntw.conns {
			if con.to == host {
				con.setWake(now, ord)
			}
		}
	}
	ntw.release()
}

// setWake sets when what a connection holds reaches the process that it leads to, which goes on now.
func (con *conn) setWake(now time.Time, ord WakeOrder) {
	con.mu.Lock()
	defer con.mu.Unlock()
	if con.held {
		con.bytesReadAt, con.endKnownAt, con.endReadAt = now.Add(ord.Bytes), now.Add(ord.Known), now.Add(ord.Read)
	}
}

// CutWay holds up all that one host sends to another, and no connection comes about between them: what the other sends arrives. It
// lasts until MendWay, which delivers what was held up.
func (ntw *Network) CutWay(from, to string) {
	ntw.mu.Lock()
	defer ntw.mu.Unlock()
	ntw.ways[[2]string{from, to}] = true
	for _, con := range ntw.conns {
		if con.from == from && con.to == to {
			con.setHeld()
		}
	}
}

// MendWay ends what CutWay began.
func (ntw *Network) MendWay(from, to string) {
	ntw.mu.Lock()
	defer ntw.mu.Unlock()
	delete(ntw.ways, [2]string{from, to})
	ntw.release()
}

// holds reports whether what a connection's end sends is held up; the lock is held.
func (ntw *Network) holds(con *conn) bool {
	return ntw.stalled[con.from] || ntw.stalled[con.to] || ntw.ways[[2]string{con.from, con.to}]
}

// heldWay reports whether a way between two hosts is held up in one direction; the lock is held.
func (ntw *Network) heldWay(one, two string) bool {
	return ntw.ways[[2]string{one, two}] || ntw.ways[[2]string{two, one}]
}

// release delivers over all connections that are held up no more; the lock is held.
func (ntw *Network) release() {
	for _, con := range ntw.conns {
		if !ntw.holds(con) && con.beginRelease() {
			ntw.grp.Go(con.release)
		}
	}
}

// beginRelease reports whether something is held up that nobody delivers yet.
func (con *conn) beginRelease() bool {
	con.mu.Lock()
	defer con.mu.Unlock()
	if !con.held || con.releasing {
		return false
	}
	con.releasing = true
	return true
}

func (con *conn) setHeld() {
	con.mu.Lock()
	defer con.mu.Unlock()
	con.held, con.releasing = true, false
}

// hold keeps data back if the connection is held.
func (con *conn) hold(data []byte) bool {
	con.mu.Lock()
	defer con.mu.Unlock()
	if con.closed {
		return false
	}
	if con.held {
		con.waiting = append(con.waiting, slices.Clone(data))
	}
	return con.held
}

// release delivers what was held, and then the end of the connection if its sender has closed it.
func (con *conn) release() error {
	for {
		con.mu.Lock()
		if !con.releasing {
			con.mu.Unlock()
			return nil // It is held up again.
		}
		readAt := con.bytesReadAt
		if len(con.waiting) == 0 && con.closed {
			readAt = con.endReadAt
		}
		if wait := time.Until(readAt); wait > 0 {
			con.mu.Unlock()
			time.Sleep(wait)
			continue
		}
		if len(con.waiting) == 0 {
			con.held, con.releasing = false, false
			closed := con.closed
			con.mu.Unlock()
			if closed {
				_ = con.Conn.Close() // It may be closed already.
			}
			return nil
		}
		data := con.waiting[0]
		con.waiting = con.waiting[1:]
		con.mu.Unlock()
		// The sender's deadline was for its own kernel, which has taken the data.
		_ = con.SetWriteDeadline(time.Time{})
		if con.isSilent() {
			continue
		}
		if _, err := con.Conn.Write(data); err != nil {
			con.drop()
		}
	}
}

// drop forgets what is held, as nobody reads it any more.
func (con *conn) drop() {
	con.mu.Lock()
	defer con.mu.Unlock()
	con.waiting = nil
}
