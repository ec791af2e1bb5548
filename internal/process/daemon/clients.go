package daemon

import (
	"fmt"
	"net/http"

	"chestnutstack/internal/connection/http1"
	"chestnutstack/platform"
)

// callerLimits returns the limits on what callers take of this machine.
func callerLimits(set *platform.Settings) http1.Limits {
	return http1.NewLimits(set.MemoryBytes, set.Sockets)
}

// heapLimit returns the soft limit of the runtime: what the program and the bytes that the kernel holds for callers leave of the machine's memory.
func heapLimit(set *platform.Settings) int64 {
	left := int64((1-marginShare)*float64(set.MemoryBytes)) - callerLimits(set).UnreadBytes() - programBytes
	return max(left, programBytes)
}

// metricsHandler serves the metrics as text, one per line.
func (dmn *Daemon) metricsHandler() http.Handler {
	counted := dmn.cnt.handler()
	return http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
		counted.ServeHTTP(wrt, req)
		line := func(name string, val int64) {
			_, _ = fmt.Fprintf(wrt, "%s %d\n", name, val) // Fails if the client has closed the connection.
		}
		for rsn := range http1.Reasons {
			line("caller-connections-closed-"+rsn.String(), dmn.callerServer.Closed(rsn))
		}
		cons, wrk, byt := dmn.callerServer.Held()
		line("caller-connections", int64(cons))
		line("caller-requests-taken", int64(wrk))
		line("caller-request-bytes", byt)
	})
}
