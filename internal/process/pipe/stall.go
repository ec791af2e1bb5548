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

// Resume lets a host's process go on.
func (ntw *Network) Resume(host string) {
	ntw.mu.Lock()
	defer ntw.mu.Unlock()
	delete(ntw.stalled, host)
	for _, con := range ntw.conns {
		if (con.from == host || con.to == host) && !ntw.stalled[con.from] && !ntw.stalled[con.to] {
			ntw.grp.Go(con.release)
		}
	}
}

func (con *conn) setHeld() {
	con.mu.Lock()
	defer con.mu.Unlock()
	con.held = true
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
		if len(con.waiting) == 0 {
			con.held = false
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
