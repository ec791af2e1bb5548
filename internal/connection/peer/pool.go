package peer

import (
	"context"
	"encoding/json"

	"chestnutstack/internal/connection/member"
	"chestnutstack/internal/request/job"
)

const methodPoolList = "pool-list"

// wireInstance is an instance of the platform's list as a peer last read it.
type wireInstance struct {
	ID            string `json:"id"`
	Incarnation   string `json:"incarnation"`
	Kind          int    `json:"kind"`
	Address       string `json:"address"`
	PeerAddress   string `json:"peer-address,omitempty"`
	FailureDomain string `json:"failure-domain"`
	Rack          string `json:"rack,omitempty"`
	Worker        string `json:"worker,omitempty"`
	Leaving       bool   `json:"leaving,omitempty"`
	Slots         uint32 `json:"slots,omitempty"`
	Processors    uint32 `json:"processors,omitempty"`
	MemoryBytes   uint64 `json:"memory-bytes,omitempty"`
	Accelerators  uint32 `json:"accelerators,omitempty"`
}

type wirePool struct {
	Instances []wireInstance `json:"instances"`
}

// PoolList returns the platform's list as a peer last read it, for an instance that starts while the
// platform is out of reach. The target may have no ID: whoever answers at the address will do.
func (cli *Client) PoolList(ctx context.Context, tgt Target) ([]member.Instance, error) {
	var rep wirePool
	if err := cli.call(ctx, tgt, methodPoolList, wireEmpty{}, &rep); err != nil {
		return nil, err
	}
	lst := make([]member.Instance, 0, len(rep.Instances))
	for idx := range rep.Instances {
		lst = append(lst, toInstance(&rep.Instances[idx]))
	}
	return lst, nil
}

func poolList(ctx context.Context, ses *session, _ json.RawMessage) (any, error) {
	lst, err := ses.srv.hdl.PoolList(ctx)
	rep := wirePool{Instances: make([]wireInstance, 0, len(lst))}
	for idx := range lst {
		rep.Instances = append(rep.Instances, fromInstance(&lst[idx]))
	}
	return rep, err
}

func toInstance(wir *wireInstance) member.Instance {
	return member.Instance{
		ID:            wir.ID,
		Incarnation:   wir.Incarnation,
		Kind:          member.Kind(wir.Kind),
		Address:       wir.Address,
		PeerAddress:   wir.PeerAddress,
		FailureDomain: wir.FailureDomain,
		Rack:          wir.Rack,
		Worker:        wir.Worker,
		Leaving:       wir.Leaving,
		Slots:         wir.Slots,
		Capacity: job.Needs{
			Processors:   wir.Processors,
			MemoryBytes:  wir.MemoryBytes,
			Accelerators: wir.Accelerators,
		},
	}
}

func fromInstance(ins *member.Instance) wireInstance {
	return wireInstance{
		ID:            ins.ID,
		Incarnation:   ins.Incarnation,
		Kind:          int(ins.Kind),
		Address:       ins.Address,
		PeerAddress:   ins.PeerAddress,
		FailureDomain: ins.FailureDomain,
		Rack:          ins.Rack,
		Worker:        ins.Worker,
		Leaving:       ins.Leaving,
		Slots:         ins.Slots,
		Processors:    ins.Capacity.Processors,
		MemoryBytes:   ins.Capacity.MemoryBytes,
		Accelerators:  ins.Capacity.Accelerators,
	}
}
