package config

import (
	"maps"
	"net"
	"slices"
	"sort"
	"strings"
	"time"
)

// Route maps requests of a host and path prefix to a service. The tasks of a route are queued with its priority and response time
// objective.
type Route struct {
	name, host, prefix, service string
	target, timeout             time.Duration
	stretch                     float64
	priority, attempts          int
}

// RouteParams are the fields of a Route, for NewRoute. The response time objective is Target plus Stretch times the run time of the job
// without waiting. Attempts is how many failed runs a task may have.
type RouteParams struct {
	Name, Host, Prefix, Service string
	// Timeout is the time that a request may take; 0 if the configuration sets none.
	Target, Timeout    time.Duration
	Stretch            float64
	Priority, Attempts int
}

// NewRoute returns a route; fewer than one attempt is taken as one.
func NewRoute(prm RouteParams) Route {
	return Route{
		name: prm.Name, host: prm.Host, prefix: prm.Prefix, service: prm.Service,
		target: prm.Target, timeout: prm.Timeout, stretch: prm.Stretch,
		priority: prm.Priority, attempts: max(prm.Attempts, 1),
	}
}

// Name returns the name by which operators know the route.
func (rte Route) Name() string { return rte.name }

// Prefix returns the path prefix that the route serves.
func (rte Route) Prefix() string { return rte.prefix }

// Service returns the name of the service whose backend servers run the route's tasks.
func (rte Route) Service() string { return rte.service }

// Priority returns the priority of the route; 0 is the highest.
func (rte Route) Priority() int { return rte.priority }

// Attempts returns how many failed runs a task may have, at least 1.
func (rte Route) Attempts() int { return rte.attempts }

// Timeout returns the time that a request of the route may take; 0 if the configuration sets none.
func (rte Route) Timeout() time.Duration { return rte.timeout }

// maxObjective bounds response times, so that sums and small multiples of them don't overflow.
const maxObjective = 365 * 24 * time.Hour

// Objective returns the response time that callers expect of a job whose work takes a given time without waiting, at most a year.
func (rte Route) Objective(work time.Duration) time.Duration {
	obj := float64(rte.target) + rte.stretch*float64(work)
	return time.Duration(max(0, min(obj, float64(maxObjective))))
}

// Limits bound the size and the reading time of requests.
type Limits struct {
	// HeaderBytes and BodyBytes bound the header and the body of a request; 0 is no bound.
	HeaderBytes, BodyBytes int
	// HeaderTimeout bounds the reading of the header, IdleTimeout the wait for the next request of a connection.
	HeaderTimeout, IdleTimeout time.Duration
}

// Configuration is one published version of the configuration. It is immutable.
type Configuration struct {
	version int64
	byHost  map[string][]Route
	limits  Limits
}

// New returns a configuration; of several routes of a host, Match prefers the one with the longest prefix.
func New(version int64, routes []Route, lim Limits) *Configuration {
	cfg := &Configuration{version: version, byHost: map[string][]Route{}, limits: lim}
	for _, rte := range routes {
		cfg.byHost[rte.host] = append(cfg.byHost[rte.host], rte)
	}
	for _, rts := range cfg.byHost {
		sort.SliceStable(rts, func(one, two int) bool { return len(rts[one].prefix) > len(rts[two].prefix) })
	}
	return cfg
}

// Version returns the version's number; the numbers rise, but not by one each.
func (cfg *Configuration) Version() int64 { return cfg.version }

// Limits returns the bounds on the size and the reading time of requests.
func (cfg *Configuration) Limits() Limits { return cfg.limits }

// Services returns the sorted names of the services that the routes use.
func (cfg *Configuration) Services() []string {
	names := map[string]bool{}
	for _, rts := range cfg.byHost {
		for _, rte := range rts {
			names[rte.service] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// Match returns the route with the longest prefix of a path among those of a host, given with or without a port, and whether there is
// one.
func (cfg *Configuration) Match(host, path string) (Route, bool) {
	if nam, _, err := net.SplitHostPort(host); err == nil {
		host = nam
	}
	for _, rte := range cfg.byHost[host] {
		if strings.HasPrefix(path, rte.prefix) {
			return rte, true
		}
	}
	return Route{}, false
}
