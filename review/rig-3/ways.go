package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"chestnutstack/internal/connection/meshpb"
	"chestnutstack/internal/connection/rpc"
)

// way is a proxy between two zones: what a daemon of one zone sends to a machine of another one. While it is cut it refuses channels, and those that were
// open are reset.
type way struct {
	fromZone, toZone string
	address, target  string
	// fromName is the daemon that uses the way. Where the way leads to a daemon, that one is told to answer by the way back.
	fromName string
	back     *way

	mu   sync.Mutex
	lis  net.Listener
	ends map[net.Conn]bool
}

// newWay returns a way that is open.
func newWay(from *daemon, toZone, target string) (*way, error) {
	wy := &way{fromZone: from.zone, toZone: toZone, fromName: from.name, target: target, ends: map[net.Conn]bool{}}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	wy.address = lis.Addr().String()
	wy.open(lis)
	return wy, nil
}

func (wy *way) open(lis net.Listener) {
	wy.mu.Lock()
	wy.lis = lis
	wy.mu.Unlock()
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return // The way was cut.
			}
			go wy.carry(con)
		}
	}()
}

// cut resets what is open and refuses channels from now on.
func (wy *way) cut() {
	wy.mu.Lock()
	defer wy.mu.Unlock()
	_ = wy.lis.Close()
	for con := range wy.ends {
		reset(con)
	}
}

// heal lets the way be used again.
func (wy *way) heal() error {
	for began := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		lis, err := net.Listen("tcp", wy.address)
		if err == nil {
			wy.open(lis)
			return nil
		}
		if time.Since(began) > 5*time.Second {
			return err
		}
	}
}

func reset(con net.Conn) {
	if tcp, ok := con.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Closing then sends a reset.
	}
	_ = con.Close() // It may be closed already.
}

// hold keeps the ends of a channel for cut.
func (wy *way) hold(cons ...net.Conn) {
	wy.mu.Lock()
	defer wy.mu.Unlock()
	for _, con := range cons {
		wy.ends[con] = true
	}
}

func (wy *way) carry(near net.Conn) {
	far, err := net.DialTimeout("tcp", wy.target, time.Second)
	if err != nil {
		reset(near)
		return
	}
	wy.hold(near, far)
	var wgr sync.WaitGroup
	wgr.Go(func() { wy.pump(near, far, wy.back != nil) })
	wgr.Go(func() { wy.pump(far, near, false) })
	wgr.Wait()
	wy.mu.Lock()
	delete(wy.ends, near)
	delete(wy.ends, far)
	wy.mu.Unlock()
}

// pump passes on one direction. Where daemons talk, the address that the sender tells of itself becomes that of the way back, as it would bypass the ways.
func (wy *way) pump(src, dst net.Conn, translate bool) {
	defer func() {
		_ = src.Close()
		_ = dst.Close()
	}()
	if !translate {
		_, _ = io.Copy(dst, src) // Its end is passed on by closing.
		return
	}
	rdr, cdc := bufio.NewReader(src), rpc.BoundedCodec{Max: 16 << 20}
	for {
		var msg json.RawMessage
		if cdc.ReadObject(rdr, &msg) != nil {
			return
		}
		if cdc.WriteObject(dst, wy.translated(msg)) != nil {
			return
		}
	}
}

// translated returns a message with the address of the way back.
func (wy *way) translated(msg json.RawMessage) json.RawMessage {
	fields := map[string]json.RawMessage{}
	var data []byte
	if json.Unmarshal(msg, &fields) != nil || json.Unmarshal(fields["params"], &data) != nil {
		return msg
	}
	dlv := &meshpb.Delivery{}
	if proto.Unmarshal(data, dlv) != nil {
		return msg
	}
	dlv.Address = wy.back.address
	data, _ = proto.Marshal(dlv) // It was just decoded.
	fields["params"], _ = json.Marshal(data)
	text, _ := json.Marshal(fields)
	return text
}

// joinZones puts ways between all machines of different zones, and has each daemon's view of the store lead to its ways.
func (dep *deployment) joinZones() error {
	toDaemon := map[string]*way{}
	for _, dmn := range dep.daemons {
		found := map[string]string{}
		for _, rnr := range dep.runners {
			if rnr.zone == dmn.zone {
				continue
			}
			wy, err := newWay(dmn, rnr.zone, rnr.address)
			if err != nil {
				return err
			}
			dep.ways, found[rnr.id] = append(dep.ways, wy), wy.address
		}
		for _, oth := range dep.daemons {
			if oth.zone == dmn.zone {
				continue
			}
			wy, err := newWay(dmn, oth.zone, fmt.Sprintf("%s:%d", oth.ip, lowPort))
			if err != nil {
				return err
			}
			dep.ways, found[oth.name] = append(dep.ways, wy), wy.address
			toDaemon[dmn.name+" "+oth.name] = wy
		}
		var err error
		if dmn.storeAdr, err = dep.serve(dep.sto.View(func(key string) string { return found[key] })); err != nil {
			return err
		}
	}
	for pair, wy := range toDaemon {
		from, to, _ := strings.Cut(pair, " ")
		wy.back = toDaemon[to+" "+from]
	}
	return nil
}

// cutZone partitions a zone from the others: channels are refused.
func (dep *deployment) cutZone(zone string) {
	dep.rec.note("cut    %s is partitioned from the other zones, which refuse its channels and have theirs refused", zone)
	dep.disturbedAt = time.Now()
	for _, wy := range dep.ways {
		if wy.fromZone == zone || wy.toZone == zone {
			wy.cut()
		}
	}
}

// healZone ends the partition.
func (dep *deployment) healZone(zone string) error {
	dep.rec.note("cut    the partition of %s ends", zone)
	dep.disturbedAt = time.Now()
	for _, wy := range dep.ways {
		if wy.fromZone == zone || wy.toZone == zone {
			if err := wy.heal(); err != nil {
				return err
			}
		}
	}
	return nil
}
