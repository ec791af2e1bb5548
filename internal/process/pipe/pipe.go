package pipe

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// Network connects hosts by name. Hosts can be cut off from each other, their connections silenced, and
// a host dropped as its death does.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	// cut has pairs of hosts that don't reach each other: connections fall silent, dials time out.
	cut map[[2]string]bool
	// dead has hosts that nothing reaches and that reach nothing.
	dead  map[string]bool
	conns []*conn
	// links has the hosts whose links are narrow.
	links map[string]*link
	// stalled has the hosts whose processes don't run; grp delivers what was held for them.
	stalled map[string]bool
	// ways has those, from a host to another, on which everything is held up.
	ways map[[2]string]bool
	// names are those of hosts by their IP addresses.
	names map[string]string
	grp   errgroup.Group
}

// New returns a network without hosts.
func New() *Network {
	return &Network{
		listeners: map[string]*listener{}, cut: map[[2]string]bool{}, dead: map[string]bool{}, links: map[string]*link{},
		stalled: map[string]bool{}, ways: map[[2]string]bool{}, names: map[string]string{},
	}
}

// Name gives a host an IP address, by which it can be dialled as by its name.
func (ntw *Network) Name(ip, host string) {
	ntw.mu.Lock()
	defer ntw.mu.Unlock()
	ntw.names[ip] = host
}

// named returns an address with the name of its host in place of the IP address; the caller holds the lock.
func (ntw *Network) named(addr string) string {
	if ip, prt, err := net.SplitHostPort(addr); err == nil && ntw.names[ip] != "" {
		return net.JoinHostPort(ntw.names[ip], prt)
	}
	return addr
}

type address string

func (adr address) Network() string { return "pipe" }
func (adr address) String() string  { return string(adr) }

type listener struct {
	addr   string
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Listen returns a listener for an address, in place of an earlier one; an address without a port
// stands for every port of the host.
func (ntw *Network) Listen(addr string) net.Listener {
	lis := &listener{addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
	ntw.mu.Lock()
	defer ntw.mu.Unlock()
	ntw.listeners[addr] = lis
	return lis
}

func (lis *listener) Accept() (net.Conn, error) {
	select {
	case con := <-lis.conns:
		return con, nil
	case <-lis.closed:
		return nil, net.ErrClosed
	}
}

func (lis *listener) Close() error {
	lis.once.Do(func() { close(lis.closed) })
	return nil
}

func (lis *listener) Addr() net.Addr { return address(lis.addr) }

func hostOf(addr string) string {
	hst, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return hst
}

func pair(one, two string) [2]string {
	if one > two {
		one, two = two, one
	}
	return [2]string{one, two}
}

// Dialer returns the dial function of a host.
func (ntw *Network) Dialer(host string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		ntw.mu.Lock()
		addr = ntw.named(addr)
		lis := ntw.listenerAt(addr)
		// A machine without power takes no connection either; that of a killed process refuses it, as nobody listens there.
		silent := ntw.cut[pair(host, hostOf(addr))] || ntw.heldWay(host, hostOf(addr)) || ntw.dead[host] || lis != nil && ntw.dead[hostOf(addr)]
		ntw.mu.Unlock()
		if silent {
			return nil, timeOut(ctx)
		}
		if lis == nil {
			return nil, refused()
		}
		near, far := net.Pipe()
		one := &conn{Conn: near, from: host, to: hostOf(addr)}
		two := &conn{Conn: far, from: hostOf(addr), to: host}
		one.other, two.other = two, one
		ntw.mu.Lock()
		one.out, two.out = ntw.links[one.from], ntw.links[two.from]
		one.held, two.held = ntw.holds(one), ntw.holds(two)
		ntw.conns = append(ntw.conns, one, two)
		ntw.mu.Unlock()
		select {
		case lis.conns <- two:
			return one, nil
		case <-lis.closed:
			return nil, refused()
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// timeOut is what a dial into a cut does: nothing answers, and the kernel gives up after a while.
func timeOut(ctx context.Context) error {
	tim := time.NewTimer(dialTimeout)
	defer tim.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-tim.C:
		return &net.OpError{Op: "dial", Net: "pipe", Err: os.ErrDeadlineExceeded}
	}
}

const dialTimeout = 2 * time.Second

func (ntw *Network) listenerAt(addr string) *listener {
	if lis := ntw.listeners[addr]; lis != nil {
		return lis
	}
	return ntw.listeners[hostOf(addr)]
}

// Dial connects from nowhere in particular, which no cut concerns.
func (ntw *Network) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return ntw.Dialer("")(ctx, network, addr)
}

// Client returns a client with connections of its own; they are closed by CloseIdleConnections.
func (ntw *Network) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: ntw.Dial,
		Protocols:   Protocols(),
	}}
}

// Protocols returns what clients and servers of the network speak: HTTP/2 in clear text.
func Protocols() *http.Protocols {
	prt := new(http.Protocols)
	prt.SetUnencryptedHTTP2(true)
	return prt
}

func refused() error {
	return &net.OpError{Op: "dial", Net: "pipe", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
}

// Separate makes two hosts unreachable to each other, and Heal undoes it. Connections that were open
// stay silent for good, as after a device between them has forgotten them.
func (ntw *Network) Separate(one, two string) {
	ntw.mu.Lock()
	defer ntw.mu.Unlock()
	ntw.cut[pair(one, two)] = true
	ntw.silence(one, two)
}

// Heal lets all hosts reach each other again, over new connections.
func (ntw *Network) Heal() {
	ntw.mu.Lock()
	defer ntw.mu.Unlock()
	clear(ntw.cut)
}

// Forget silences the open connections between two hosts; new ones work.
func (ntw *Network) Forget(one, two string) {
	ntw.mu.Lock()
	defer ntw.mu.Unlock()
	ntw.silence(one, two)
}

func (ntw *Network) silence(one, two string) {
	for _, con := range ntw.conns {
		if pair(con.from, con.to) == pair(one, two) {
			con.fallSilent()
		}
	}
}

// Isolate makes sure that nothing that a dead host still does reaches anybody.
func (ntw *Network) Isolate(host string) {
	ntw.mu.Lock()
	defer ntw.mu.Unlock()
	ntw.dead[host] = true
}

// Close ends every connection.
func (ntw *Network) Close() {
	ntw.mu.Lock()
	for _, con := range ntw.conns {
		_ = con.Conn.Close()
	}
	ntw.mu.Unlock()
	_ = ntw.grp.Wait() // Deliveries return no errors.
}

// Drop closes every connection of a host, as its death does.
func (ntw *Network) Drop(host string) {
	ntw.mu.Lock()
	defer ntw.mu.Unlock()
	for _, con := range ntw.conns {
		if con.from == host || con.to == host {
			_ = con.Close()
		}
	}
	for addr, lis := range ntw.listeners {
		if hostOf(addr) == host {
			_ = lis.Close()
			delete(ntw.listeners, addr)
		}
	}
}

// conn is one end of a connection. A silent one swallows what is written; nothing arrives.
type conn struct {
	net.Conn
	from, to string
	// other is the other end.
	other *conn
	// out is the narrow link of the sending host, if it has one.
	out    *link
	mu     sync.Mutex
	silent bool
	closed bool
	// held is set while what is written waits in kernels; waiting has it, and releasing is set while it is being delivered.
	held, releasing bool
	waiting         [][]byte
	// bytesReadAt is when the process of the other host reads what is held, endKnownAt when its kernel has the end of that and endReadAt when the
	// process reads the end; zero if that is left to the scheduler.
	bytesReadAt, endKnownAt, endReadAt time.Time
	// wroteAt is when this end last sent something.
	wroteAt time.Time
}

// Close implements net.Conn. What was written before still arrives.
func (con *conn) Close() error {
	con.mu.Lock()
	con.closed = true
	held := con.held
	con.mu.Unlock()
	if held {
		return nil
	}
	return con.Conn.Close()
}

// PeerHasLeft reports whether this host's kernel knows that the other end was closed.
func (con *conn) PeerHasLeft() bool { return !con.isSilent() && con.other.hasEnded() }

// SinceLastReceived returns how long ago the other end last sent something, which this host's kernel has had since then.
func (con *conn) SinceLastReceived() time.Duration {
	con.other.mu.Lock()
	defer con.other.mu.Unlock()
	if con.other.wroteAt.IsZero() {
		return 0
	}
	return time.Since(con.other.wroteAt)
}

func (con *conn) hasEnded() bool {
	con.mu.Lock()
	defer con.mu.Unlock()
	return con.closed && (!con.held || !con.endKnownAt.IsZero() && !time.Now().Before(con.endKnownAt))
}

func (con *conn) isClosed() bool {
	con.mu.Lock()
	defer con.mu.Unlock()
	return con.closed
}

// Open returns how many connections a host has opened and not closed.
func (ntw *Network) Open(host string) int {
	ntw.mu.Lock()
	defer ntw.mu.Unlock()
	num := 0
	for idx := 0; idx < len(ntw.conns); idx += 2 {
		if con := ntw.conns[idx]; con.from == host && !con.isClosed() {
			num++
		}
	}
	return num
}

func (con *conn) fallSilent() {
	con.mu.Lock()
	defer con.mu.Unlock()
	con.silent = true
}

func (con *conn) isSilent() bool {
	con.mu.Lock()
	defer con.mu.Unlock()
	return con.silent
}

func (con *conn) Write(data []byte) (int, error) {
	con.mu.Lock()
	con.wroteAt = time.Now()
	con.mu.Unlock()
	if con.isSilent() {
		return len(data), nil
	}
	if con.hold(data) {
		return len(data), nil
	}
	if con.out != nil {
		con.out.carry(len(data))
	}
	return con.Conn.Write(data)
}

// Narrow gives a host a link that carries so many bytes a second of what it sends, over connections opened from now on.
func (ntw *Network) Narrow(host string, perSecond int) {
	ntw.mu.Lock()
	defer ntw.mu.Unlock()
	ntw.links[host] = &link{perSecond: perSecond}
}

// link is the way out of a host: what is sent waits for all that was sent before.
type link struct {
	perSecond int
	mu        sync.Mutex
	freeAt    time.Time
}

// packetBytes is what the headers of a packet and its acknowledgement take up on the link.
const packetBytes = 80

// carry returns once so many more bytes have left the host.
func (lnk *link) carry(num int) {
	lnk.mu.Lock()
	now := time.Now()
	if lnk.freeAt.Before(now) {
		lnk.freeAt = now
	}
	lnk.freeAt = lnk.freeAt.Add(time.Duration(num+packetBytes) * time.Second / time.Duration(lnk.perSecond))
	until := lnk.freeAt
	lnk.mu.Unlock()
	time.Sleep(until.Sub(now))
}
