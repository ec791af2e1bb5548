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

// counted returns a dial function whose connections count their bytes.
func counted(dial mesh.DialFunc, cnt *rpc.Counters) mesh.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		con, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		cnt.Call()
		return rpc.Watch(con, cnt, 0), nil
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
	return rpc.Watch(con, lis.cnt, 0), nil
}

// trafficInterval is short enough to see a second of full links, and costs a line of 300 bytes.
const trafficInterval = time.Second

// logTraffic tells each second what went over each way, so that it can be seen which of them fills the link.
func (dmn *Daemon) logTraffic(ctx context.Context) error {
	var last [4]rpc.Stats
	for pause(ctx, trafficInterval) {
		now := [...]rpc.Stats{
			dmn.cnt.traffic.callers.Stats(), dmn.cnt.traffic.servers.Stats(), dmn.cnt.traffic.store.Stats(), dmn.mesh.Stats(),
		}
		lin := dmn.log.Info()
		for idx, way := range [...]string{"callers", "servers", "store", "peers"} {
			lin = lin.Uint64(way+"-in", now[idx].BytesIn-last[idx].BytesIn).Uint64(way+"-out", now[idx].BytesOut-last[idx].BytesOut)
		}
		lin.Uint64("server-connections", now[1].Calls-last[1].Calls).Uint64("peer-batches", now[3].Calls-last[3].Calls).Msg("traffic")
		last = now
	}
	return nil
}
