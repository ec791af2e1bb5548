package main

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"chestnutstack/internal/connection/meshpb"
)

// link is a proxy on the way from one end to another. A daemon tells its address with each message to another one, which would call it past the proxy
// from then on; so a link between daemons leaves the address out.
type link struct {
	from, to, address, target string
	daemons                   bool

	mu    sync.Mutex
	lis   net.Listener
	conns map[net.Conn]bool
	held  bool
	// silent connections lose what is sent from then on, and stay open.
	silent  map[net.Conn]bool
	changed chan struct{}
}

func newLink(from, to, host, target string, daemons bool) (*link, error) {
	lnk := &link{from: from, to: to, target: target, daemons: daemons, conns: map[net.Conn]bool{}, silent: map[net.Conn]bool{}, changed: make(chan struct{})}
	lis, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	lnk.address = lis.Addr().String()
	lnk.listen(lis)
	return lnk, nil
}

func (lnk *link) listen(lis net.Listener) {
	lnk.mu.Lock()
	lnk.lis = lis
	lnk.mu.Unlock()
	go func() {
		for {
			near, err := lis.Accept()
			if err != nil {
				return
			}
			go lnk.carry(near)
		}
	}()
}

// carry joins a connection with one to the target. A target that refuses is told by a reset.
func (lnk *link) carry(near net.Conn) {
	lnk.await()
	far, err := net.DialTimeout("tcp", lnk.target, time.Second)
	if err != nil {
		reset(near)
		return
	}
	lnk.mu.Lock()
	lnk.conns[near], lnk.conns[far] = true, true
	lnk.mu.Unlock()
	var grp sync.WaitGroup
	grp.Go(func() {
		if lnk.daemons {
			lnk.passMessages(near, far)
		} else {
			lnk.pass(near, far)
		}
	})
	grp.Go(func() { lnk.pass(far, near) })
	grp.Wait()
	lnk.mu.Lock()
	delete(lnk.conns, near)
	delete(lnk.conns, far)
	lnk.mu.Unlock()
	_ = near.Close()
	_ = far.Close()
}

// await returns once nothing is held up.
func (lnk *link) await() {
	for {
		lnk.mu.Lock()
		held, chn := lnk.held, lnk.changed
		lnk.mu.Unlock()
		if !held {
			return
		}
		<-chn
	}
}

func (lnk *link) pass(src, dst net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		num, err := src.Read(buf)
		lnk.await()
		if lnk.isSilent(src) {
			continueSilent(src)
			return
		}
		if num > 0 {
			if _, err := dst.Write(buf[:num]); err != nil {
				_ = src.Close()
				return
			}
		}
		if err != nil {
			_ = dst.Close()
			return
		}
	}
}

// passMessages passes messages of a daemon on without the address of their sender.
func (lnk *link) passMessages(src, dst net.Conn) {
	defer func() { _, _ = src.Close(), dst.Close() }()
	rdr := bufio.NewReader(src)
	for {
		size, err := binary.ReadUvarint(rdr)
		if err != nil {
			return
		}
		msg := make([]byte, size)
		if _, err := io.ReadFull(rdr, msg); err != nil {
			return
		}
		lnk.await()
		if lnk.isSilent(src) {
			continueSilent(src)
			return
		}
		msg = withoutAddress(msg)
		if _, err := dst.Write(append(binary.AppendUvarint(nil, uint64(len(msg))), msg...)); err != nil {
			return
		}
	}
}

func withoutAddress(msg []byte) []byte {
	fields := map[string]json.RawMessage{}
	var data []byte
	dlv := &meshpb.Delivery{}
	if json.Unmarshal(msg, &fields) != nil || json.Unmarshal(fields["params"], &data) != nil || proto.Unmarshal(data, dlv) != nil {
		return msg
	}
	dlv.Address = ""
	data, err := proto.Marshal(dlv)
	if err != nil {
		return msg
	}
	fields["params"], _ = json.Marshal(data)
	out, err := json.Marshal(fields)
	if err != nil {
		return msg
	}
	return out
}

// hold holds everything up until it is called with false, as a silent cut does.
func (lnk *link) hold(held bool) {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	lnk.held = held
	close(lnk.changed)
	lnk.changed = make(chan struct{})
}

// refuse resets all connections and refuses new ones, until it is called with false.
func (lnk *link) refuse(refused bool) {
	lnk.mu.Lock()
	lis := lnk.lis
	if refused {
		lnk.lis = nil
	}
	lnk.mu.Unlock()
	switch {
	case refused && lis != nil:
		_ = lis.Close()
		lnk.resetAll()
	case !refused && lis == nil:
		for range 200 {
			if lis, err := net.Listen("tcp", lnk.address); err == nil {
				lnk.listen(lis)
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

func (lnk *link) resetAll() {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	for con := range lnk.conns {
		reset(con)
	}
}

func reset(con net.Conn) {
	if tcp, ok := con.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = con.Close()
}

// silence makes all open connections lose what is sent from now on; new ones work.
func (lnk *link) silence() {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	for con := range lnk.conns {
		lnk.silent[con] = true
	}
}

func (lnk *link) isSilent(con net.Conn) bool {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	return lnk.silent[con]
}

// continueSilent reads what comes on a silent connection until its end, which isn't passed on.
func continueSilent(con net.Conn) {
	_, _ = io.Copy(io.Discard, con)
	time.Sleep(20 * time.Second)
}
