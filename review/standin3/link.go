package main

import (
	"net"
	"strconv"
	"sync"
	"time"
)

// link is the way of a daemon to a backend server, or to another daemon: a proxy that can be cut.
type link struct {
	lis net.Listener
	// address is where the link listens, to the address of the machine toName.
	address, to, toName string
	// from is the daemon whose way it is. Messages between daemons are passed on without the sender's address, by which the link would be bypassed.
	from    string
	daemons bool

	mu    sync.Mutex
	conns map[net.Conn]bool
	// silent links lose what is sent, and their connections end once they are healed.
	silent bool
}

// newLink listens at an address of the host.
func (sys *system) newLink(host string, from *daemon, toName, to string, daemons bool) (*link, error) {
	lis, err := listen(host)
	if err != nil {
		return nil, err
	}
	lnk := &link{lis: lis, address: lis.Addr().String(), to: to, toName: toName, from: from.name, daemons: daemons, conns: map[net.Conn]bool{}}
	sys.grp.Go(func() error {
		for {
			near, err := lis.Accept()
			if err != nil {
				return nil //nolint:nilerr // it was closed
			}
			sys.grp.Go(func() error {
				lnk.carry(near)
				return nil
			})
		}
	})
	return lnk, nil
}

// listen listens at a free port of five digits.
func listen(host string) (net.Listener, error) {
	for {
		lis, err := net.Listen("tcp", host+":0")
		if err != nil {
			return nil, err
		}
		if prt := lis.Addr().(*net.TCPAddr).Port; prt >= 10000 && prt < 60000 { //nolint:forcetypeassert // it listens on TCP
			return lis, nil
		}
		_ = lis.Close() // Only the port is wanted.
	}
}

// isSilent reports whether what is sent is lost.
func (lnk *link) isSilent() bool {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	return lnk.silent
}

// carry joins a connection with one to the target until one of them ends.
func (lnk *link) carry(near net.Conn) {
	far, err := net.DialTimeout("tcp", lnk.to, time.Second)
	if err != nil {
		reset(near)
		return
	}
	lnk.mu.Lock()
	lnk.conns[near], lnk.conns[far] = true, true
	lnk.mu.Unlock()
	var wtg sync.WaitGroup
	wtg.Go(func() {
		if lnk.daemons {
			lnk.pumpMessages(near, far)
			return
		}
		lnk.pump(near, far)
	})
	wtg.Go(func() { lnk.pump(far, near) })
	wtg.Wait()
	lnk.mu.Lock()
	delete(lnk.conns, near)
	delete(lnk.conns, far)
	lnk.mu.Unlock()
}

// pump passes on one direction.
func (lnk *link) pump(src, dst net.Conn) {
	defer func() { _, _ = src.Close(), dst.Close() }() // They may be closed already.
	buf := make([]byte, 64<<10)
	for {
		num, err := src.Read(buf)
		if num > 0 && !lnk.isSilent() {
			if _, werr := dst.Write(buf[:num]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// silence has the link lose what is sent.
func (lnk *link) silence() {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	lnk.silent = true
}

// heal ends the silence. A machine that has started again meanwhile knows nothing of its connections, so that they end.
func (lnk *link) heal() {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	lnk.silent = false
	for con := range lnk.conns {
		reset(con)
	}
}

// end closes the link for good.
func (lnk *link) end() {
	_ = lnk.lis.Close() // Nothing listens there any more.
	lnk.heal()
}

func reset(con net.Conn) {
	if tcp, ok := con.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Closing then sends a reset.
	}
	_ = con.Close() // It may be closed already.
}

// addLink adds a link to the ways of a daemon.
func (sys *system) addLink(ways map[string]*link, host string, from *daemon, toName, to string, daemons bool) error {
	lnk, err := sys.newLink(host, from, toName, to, daemons)
	if err != nil {
		return err
	}
	ways[toName] = lnk
	sys.links = append(sys.links, lnk)
	return nil
}

// linksBetween returns the links between a daemon and the other daemons, in both directions.
func (sys *system) linksBetween(name string) []*link {
	var lnks []*link
	for _, lnk := range sys.links {
		if lnk.daemons && (lnk.from == name || lnk.toName == name) {
			lnks = append(lnks, lnk)
		}
	}
	return lnks
}

// connect gives each daemon a view of the store in which all backend servers are found behind links, and the other daemons, too, where they are cut off.
func (sys *system) connect() error {
	host := subnet() + ".99"
	for _, dmn := range sys.daemons {
		ways := map[string]*link{}
		for _, srv := range sys.servers {
			if err := sys.addLink(ways, host, dmn, srv.name, srv.address, false); err != nil {
				return err
			}
		}
		for _, oth := range sys.daemons {
			if oth == dmn || !sys.daemonLinks {
				continue
			}
			if err := sys.addLink(ways, host, dmn, oth.name, net.JoinHostPort(oth.ip, strconv.Itoa(oth.ports[0])), true); err != nil {
				return err
			}
		}
		view, err := sys.serve("127.0.0.1", sys.sto.View(func(key string) string {
			if lnk := ways[key]; lnk != nil {
				return lnk.address
			}
			return ""
		}))
		if err != nil {
			return err
		}
		dmn.store = view
	}
	return nil
}

// linksTo returns the links of all daemons to a backend server.
func (sys *system) linksTo(name string) []*link {
	var lnks []*link
	for _, lnk := range sys.links {
		if lnk.toName == name {
			lnks = append(lnks, lnk)
		}
	}
	return lnks
}
