package shard

import (
	"slices"
	"time"
)

// ReturnReason says why a leader has returned an order.
type ReturnReason int

// The reasons for a return. Of a shard's servers, the one that comes closest to taking the task says which of them binds.
const (
	// NoReason is the reason of reports that return no order, and of those of earlier versions.
	NoReason ReturnReason = iota
	// NoServer means that no server accepts tasks now.
	NoServer
	// WrongService and WrongLabel mean that no server which accepts tasks has the order's service, or its label.
	WrongService
	WrongLabel
	// StepBound means that the servers run as many tasks of the step as may run on one.
	StepBound
	// NoMemory and NoProcessor mean that too little is free.
	NoMemory
	NoProcessor
	// DomainClosed means that the failure domain is closed to new work.
	DomainClosed
	// WouldEndTooLate means that the answer would be of no use.
	WouldEndTooLate
	// LeaseExpired means that the leader has lost contact with the server that had the run.
	LeaseExpired
	// RunsNowhere means that the order was with a former leader, and its task is proven to run nowhere.
	RunsNowhere
	// LeaderResigned means that the leader has given the shard up.
	LeaderResigned
	// KeptForUrgent means that there is room, which is kept for more urgent tasks or for one that waits.
	KeptForUrgent
	// ReturnReasons is the number of reasons.
	ReturnReasons
)

// String returns the kebab-case name that logs and metrics use.
func (rsn ReturnReason) String() string {
	names := [ReturnReasons]string{
		"", "no-server", "service", "label", "step-bound", "memory", "processor", "closed", "too-late", "lease-expired", "runs-nowhere", "resigned",
		"kept-for-urgent",
	}
	if rsn < 0 || rsn >= ReturnReasons {
		return "unknown"
	}
	return names[rsn]
}

// binding returns why none of the servers can take an order.
func (ldr *Leader) binding(now time.Time, ord *order) ReturnReason {
	if ord.waitedForSpeed {
		return NoProcessor // On the servers that are fast enough for it.
	}
	rsn := NoServer
	for _, srv := range ldr.serverList {
		if ldr.takesTasks(now, srv) {
			rsn = max(rsn, srv.binding(ord))
		}
	}
	return rsn
}

// binding returns why a server that accepts tasks can't take an order.
func (srv *server) binding(ord *order) ReturnReason {
	prc, mem := srv.free()
	switch {
	case srv.ent.Service != ord.Service:
		return WrongService
	case ord.Label != "" && !slices.Contains(srv.ent.Labels, ord.Label):
		return WrongLabel
	case !srv.suits(ord):
		return StepBound
	case prc >= ord.Processor && mem >= ord.Memory:
		return KeptForUrgent
	case prc >= ord.Processor:
		return NoMemory
	default:
		return NoProcessor
	}
}
