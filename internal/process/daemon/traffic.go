package daemon

import (
	"context"
	"net"
	"time"

	"chestnutstack/internal/connection/mesh"
	"chestnutstack/internal/connection/rpc"
)

// traffic counts the bytes on each way of an instance.
type traffic struct{ callers, servers, store rpc.Counters }

// way is one of them with its name in logs and metrics.
type way struct {
	name string
	cnt  *rpc.Counters
}

// ways returns all but that to the peers, which the mesh counts.
func (trf *traffic) ways() []way {
	return []way{{"callers", &trf.callers}, {"servers", &trf.servers}, {"store", &trf.store}}
}

// counted returns a dial function whose connections count their bytes.
func counted(dial mesh.DialFunc, cnt *rpc.Counters) mesh.DialFunc {
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

// trafficInterval is short enough to see a second of full links, and costs a line of 300 bytes.
const trafficInterval = time.Second

// logTraffic tells each second what went over each way, so that it can be seen which of them fills the link. The calls are
// connections opened to servers and to the store, and batches to peers.
func (dmn *Daemon) logTraffic(ctx context.Context) error {
	last := map[string]rpc.Stats{}
	for pause(ctx, trafficInterval) {
		lin := dmn.log.Info()
		tell := func(name string, now rpc.Stats) {
			was := last[name]
			lin = lin.Uint64(name+"-in", now.BytesIn-was.BytesIn).Uint64(name+"-out", now.BytesOut-was.BytesOut).
				Uint64(name+"-calls", now.Calls-was.Calls)
			last[name] = now
		}
		for _, way := range dmn.cnt.traffic.ways() {
			tell(way.name, way.cnt.Stats())
		}
		tell("peers", dmn.mesh.Stats())
		lin.Msg("traffic")
	}
	return nil
}
