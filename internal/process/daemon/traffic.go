package daemon

import (
	"context"
	"net"
	"time"

	"chestnutstack/internal/connection/mesh"
	"chestnutstack/internal/connection/rpc"
)

// traffic counts the bytes on an instance's connections to callers, backend servers and the store.
type traffic struct{ callers, servers, store rpc.Counters }

// trafficClass is the counter of one kind of connection, with its name in logs and metrics.
type trafficClass struct {
	name string
	cnt  *rpc.Counters
}

// classes returns all kinds of connections but those to other instances, which the mesh counts.
func (trf *traffic) classes() []trafficClass {
	return []trafficClass{{"callers", &trf.callers}, {"servers", &trf.servers}, {"store", &trf.store}}
}

// countedDial returns a dial function whose connections count their bytes in cnt.
func countedDial(dial mesh.DialFunc, cnt *rpc.Counters) mesh.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		con, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		cnt.CountCall()
		return rpc.WrapConn(con, cnt, 0), nil
	}
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	cnt *rpc.Counters
}

// Accept implements net.Listener.
func (lis countedListener) Accept() (net.Conn, error) {
	con, err := lis.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return rpc.WrapConn(con, lis.cnt, 0), nil
}

// trafficInterval is short enough to show a link that is full for 1 s; a log line has 300 bytes.
const trafficInterval = time.Second

// logTraffic logs the bytes and calls of each kind of connection every second, to show which one fills the link. Calls are connections
// opened to servers and to the store, and batches sent to other instances.
func (dmn *Daemon) logTraffic(ctx context.Context) error {
	last := map[string]rpc.Stats{}
	for sleepContext(ctx, trafficInterval) {
		lin := dmn.log.Info()
		add := func(name string, now rpc.Stats) {
			was := last[name]
			lin = lin.Uint64(name+"-in", now.BytesIn-was.BytesIn).Uint64(name+"-out", now.BytesOut-was.BytesOut).
				Uint64(name+"-calls", now.Calls-was.Calls)
			last[name] = now
		}
		for _, cls := range dmn.cnt.traffic.classes() {
			add(cls.name, cls.cnt.Stats())
		}
		add("peers", dmn.mesh.Stats())
		lin.Msg("traffic")
	}
	return nil
}
