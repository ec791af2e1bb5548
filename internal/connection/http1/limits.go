package http1

import (
	"time"

	"chestnutstack/internal/version/config"
)

// Limits bound what all clients together take of a process.
type Limits struct {
	// Connections bounds the open connections, Working those among them whose requests are being answered and can't be given up.
	Connections, Working int
	// Bytes bounds what is held of the requests of all connections.
	Bytes int64
}

const (
	defaultHeaderBytes = 16 << 10
	// maxHeaderBytes is the most that a configuration can allow.
	maxHeaderBytes       = 64 << 10
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// timeoutFactor leaves clients that stay just inside a time-out some room for the network and for pauses of this process.
	timeoutFactor = 2
	// readAhead is how much net/http reads beyond the head.
	readAhead = 4 << 10
)

func headerBytes(bnd config.Limits) int {
	if bnd.HeaderBytes <= 0 {
		return defaultHeaderBytes
	}
	return min(bnd.HeaderBytes, maxHeaderBytes)
}

func headerTimeout(bnd config.Limits) time.Duration {
	return timeoutOr(bnd.HeaderTimeout, defaultHeaderTimeout)
}

func idleTimeout(bnd config.Limits) time.Duration {
	return timeoutOr(bnd.IdleTimeout, defaultIdleTimeout)
}

func timeoutOr(dur, byDefault time.Duration) time.Duration {
	if dur <= 0 {
		dur = byDefault
	}
	return timeoutFactor * dur
}

const (
	// ReceiveBuffer is the size of the kernel's buffer for what a connection has received and the process hasn't read. A body of 256 KB takes some
	// twenty round trips with it.
	ReceiveBuffer = 16 << 10
	// connectionBytes is what an open connection takes at most besides its request: twice the buffer, as Linux counts its overhead, and the
	// goroutine and buffers of net/http.
	connectionBytes = 2*ReceiveBuffer + 16<<10
	// connectionShare and requestShare are shares of the machine's memory: for connections, and for what is held of requests.
	connectionShare, requestShare = 0.25, 0.25
	// socketShare of the sockets are for callers. The rest is for the store, backend servers and other instances.
	socketShare = 0.5
	// workingShare of the connections may have requests that can't be given up, so that one is left to be closed for a new one.
	workingShare   = 0.875
	minConnections = 8
)

// NewLimits returns the limits of a process with so much memory and so many sockets; 0 sockets if their number isn't known.
func NewLimits(memoryBytes int64, sockets int) Limits {
	cons := int(connectionShare * float64(memoryBytes) / connectionBytes)
	if sockets > 0 {
		cons = min(cons, int(socketShare*float64(sockets)))
	}
	cons = max(cons, minConnections)
	return Limits{
		Connections: cons, Working: int(workingShare * float64(cons)), Bytes: int64(requestShare * float64(memoryBytes)),
	}
}

// UnreadBytes returns how much the kernel holds at most of what all connections have received and the process hasn't read.
func (lim Limits) UnreadBytes() int64 { return int64(lim.Connections) * 2 * ReceiveBuffer }
