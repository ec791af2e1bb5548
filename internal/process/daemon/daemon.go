package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"chestnutstack/internal/connection/mesh"
	"chestnutstack/internal/process/succession"
	"chestnutstack/internal/request/shard"
	"chestnutstack/internal/request/submission"
	"chestnutstack/internal/version/config"
	"chestnutstack/internal/version/domainlist"
	"chestnutstack/internal/version/serverlist"
	"chestnutstack/platform"
)

// Store is what a daemon needs of the platform's metadata store.
type Store interface {
	Append(ctx context.Context, tpc platform.Topic, rec platform.Record) (offset int64, err error)
	Newest(ctx context.Context, tpc platform.Topic) (recs []platform.Record, next int64, err error)
	Read(ctx context.Context, tpc platform.Topic, from int64, wait time.Duration) ([]platform.Record, int64, error)
}

// Servers is what a daemon needs of the backend servers.
type Servers interface {
	Start(ctx context.Context, srv platform.Server, run shard.RunID, payload string, token int64,
		until time.Duration) (shard.Verdict, time.Duration, error)
	Stop(ctx context.Context, srv platform.Server, run shard.RunID, token int64) (shard.Verdict, error)
	Hold(ctx context.Context, srv platform.Server, token, seen int64, until, wait time.Duration) (
		shard.Look, shard.Verdict, error)
}

// Listeners are where a daemon is reached.
type Listeners struct {
	Callers, Ready, Peers, Metrics net.Listener
}

// Params is what a Daemon is made of.
type Params struct {
	Settings platform.Settings
	Store    Store
	Servers  Servers
	// Dial opens the connections to other instances.
	Dial mesh.DialFunc
	// Now is a clock that counts the time during which the machine was suspended.
	Now func() time.Time
	// Suspended returns for how long the machine has stood still since its start; Now counts that time.
	Suspended func() time.Duration
	Log       zerolog.Logger
	// SettingsPath is the file that Settings were read from; empty if it is not to be followed.
	SettingsPath string
	// Counters are made by New if nil.
	Counters *counters
}

// Daemon is one process of the system.
type Daemon struct {
	prm Params
	log zerolog.Logger
	now func() time.Time
	cnt *counters

	// cfg is the newest configuration; cfgData is the record it was read from, for peers that lag.
	cfg     atomic.Pointer[config.Configuration]
	cfgData atomic.Pointer[[]byte]
	leaving atomic.Bool
	// joined is closed once the instance has its number, configured once it has a configuration.
	joined, configured chan struct{}

	// mu guards all that decides. No call to another process is made under it.
	mu      sync.Mutex
	life    int64
	self    shard.InstanceID
	round   int64
	desk    *submission.Desk
	council *succession.Council
	leaders map[shard.Name]*shard.Leader
	// uplink is what the leaders share of the way to the servers.
	uplink  *shard.Uplink
	divided map[succession.Shard][]shard.ServerEntry
	// divisions are agreed with the other instances.
	divisions succession.Divisions
	entries   map[shard.ServerID]shard.ServerEntry
	// missing are servers whose entries went away while they were not leaving. The last read of the list began at
	// listReadAt; census tells whether it has every server that lives. follower is the place in the list, listChanges what was last
	// read of it and is not logged yet; serversWanted asks for a read at once.
	missing map[shard.ServerID]missingServer
	// domains is what is known of closed failure domains; refusedClosings were logged of those that it did not believe.
	domains         *domainlist.List
	refusedClosings int64
	// services are those that a configuration has ever named here: servers of others are not spoken to.
	services      map[string]bool
	listReadAt    time.Time
	census        *serverlist.Census
	follower      *serverlist.Follower
	listChanges   listed
	serversWanted chan struct{}
	callers       map[submission.Call]chan submission.Answer
	lastCal       submission.Call
	// suspended is how long the machine had stood still when it was last looked at.
	suspended time.Duration
	// sharedAt is when the own shards' loads were told to the desk.
	sharedAt time.Time
	// listed is set once the list of instances was read.
	listed bool
	// reaches are the ways to shards that this instance may take over; asked counts the askings.
	reaches map[shard.Name]*succession.Reach
	asked   int
	// leadersChanged is set once the own instance has taken a shard or left one, or the shards have changed: the next tick
	// tells the desk.
	leadersChanged bool
	// tickedAt is when the last tick came.
	tickedAt time.Time
	// openWith are the instances with which orders lie open, as of openAt.
	openWith map[shard.InstanceID]bool
	openAt   time.Time
	// cfgAt is when the configuration came into force here, cfgFromPeer whether another instance passed it on.
	cfgAt       time.Time
	cfgFromPeer bool
	// passed is when a configuration was last passed to an instance.
	passed map[shard.InstanceID]time.Time
	// local are actions that concern this instance itself.
	local []func(now time.Time)

	mesh  *mesh.Mesh
	group *errgroup.Group
	ctx   context.Context //nolint:containedctx // set by Run for the calls that decisions start
}

// New returns a daemon that works while Run does.
func New(prm Params) *Daemon {
	if prm.Counters == nil {
		prm.Counters = &counters{}
	}
	return &Daemon{
		prm: prm, log: prm.Log, now: prm.Now, cnt: prm.Counters,
		leaders: map[shard.Name]*shard.Leader{}, uplink: shard.NewUplink(prm.Settings.LinkBytes), divisions: succession.Divisions{},
		entries: map[shard.ServerID]shard.ServerEntry{}, missing: map[shard.ServerID]missingServer{},
		services: map[string]bool{}, domains: domainlist.New(prm.Settings.FailureDomains),
		callers: map[submission.Call]chan submission.Answer{},
		passed:  map[shard.InstanceID]time.Time{},
		reaches: map[shard.Name]*succession.Reach{}, openWith: map[shard.InstanceID]bool{},
		follower:      serverlist.NewFollower(serverlist.DefaultConfig(prm.Settings.Instance), prm.Now()),
		census:        serverlist.NewCensus(serverlist.CensusConfig{Return: entriesReturn, Missing: missingFor}),
		serversWanted: make(chan struct{}, 1),
		joined:        make(chan struct{}), configured: make(chan struct{}),
	}
}

// The times of a daemon.
const (
	// An instance is missed after four beats, 400 ms, and half a beat until that is looked for. With the 100 ms for
	// stops and the lease of 600 ms, the chain stays under the 1.3 s after which a caller sends its job again.
	beatInterval = 100 * time.Millisecond
	silentBeats  = 4
	// meshTimeout bounds a batch: 30 times the way to another failure domain and back.
	meshTimeout = 150 * time.Millisecond
	// tickInterval is how late a decision by time alone may be.
	tickInterval = 20 * time.Millisecond
	// leastResend is the chain's sum.
	leastResend = 1300 * time.Millisecond
	// proof is silence, stop patience, lapse and a margin: when all that a lost leader ran for this
	// instance is over.
	proof = 1300 * time.Millisecond
	// retryAfter is how long refused callers are told to stay away: the least that the header can say.
	retryAfter = time.Second
	// vacancy is how long all shards may be without a leader before jobs are refused at once: a restart of all
	// instances takes a second.
	vacancy = 1500 * time.Millisecond
	// startPatience is how long a request waits for a process that has just started.
	startPatience = time.Second
	// heldUpFor is how late a tick comes in a process that is short of processor: a dozen batches on a fifth of a core.
	heldUpFor = 60 * time.Millisecond
	// starvedFor is how long a process may come to nothing before it reads its sockets ahead of starting anything, for readTime:
	// callers send jobs again 1.3 s after they have lost their connection, and owners start tasks elsewhere 1.7 s after they
	// last heard a leader. On a fifth of a core some hundred batches are read within 50 ms.
	starvedFor = 500 * time.Millisecond
	readTime   = 50 * time.Millisecond
	// frozenFor is how long a machine may stand still before its beliefs are stale: others are about to
	// take its shards over.
	frozenFor = 250 * time.Millisecond
)

// Run works until ctx ends, then hands over and returns once every caller has its answer.
func (dmn *Daemon) Run(ctx context.Context, lis Listeners) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	grp, work := errgroup.WithContext(work)
	dmn.group, dmn.ctx = grp, work
	set := &dmn.prm.Settings
	if set.ResendAfter > 0 && set.ResendAfter < leastResend {
		dmn.log.Warn().Dur("resend-after", set.ResendAfter).
			Msg("clients send jobs again before what a lost instance ran is surely over")
	}
	dmn.log.Info().Str("failure-domain", set.FailureDomain).Str("callers", set.CallerAddress).
		Float64("processor", set.Processor).Msg("started")
	dmn.serveHTTP(work, countedListener{lis.Callers, &dmn.cnt.traffic.callers}, platform.Front(dmn))
	dmn.serveHTTP(work, lis.Ready, platform.Ready(dmn))
	dmn.serveHTTP(work, lis.Metrics, dmn.cnt.handler())
	grp.Go(func() error { return dmn.follow(work, dmn.configurations()) })
	grp.Go(func() error { return dmn.followServers(work) })
	grp.Go(func() error { return dmn.follow(work, dmn.serverDigests()) })
	grp.Go(func() error { return dmn.join(work, lis.Peers) })
	if dmn.prm.SettingsPath != "" {
		grp.Go(func() error { return dmn.watchSettings(work, dmn.prm.SettingsPath) })
	}
	grp.Go(func() error {
		select {
		case <-ctx.Done():
			dmn.leave()
		case <-work.Done():
		}
		stop()
		return nil
	})
	err := grp.Wait()
	dmn.log.Info().Err(err).Msg("stopped")
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// serveHTTP serves until ctx ends; requests that it has read by then are answered.
func (dmn *Daemon) serveHTTP(ctx context.Context, lis net.Listener, hdl http.Handler) {
	srv := &http.Server{Handler: hdl, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	dmn.group.Go(func() error {
		if err := srv.Serve(lis); err != nil && ctx.Err() == nil {
			return err
		}
		return nil
	})
	dmn.group.Go(func() error {
		<-ctx.Done()
		last, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastAnswers)
		defer cancel()
		if err := srv.Shutdown(last); err != nil {
			dmn.log.Warn().Err(err).Msg("closing connections that are not done")
		}
		return srv.Close()
	})
}

const (
	// headerTimeout and idleTimeout are those of the configurations seen, 3 s and 15 s, doubled.
	headerTimeout = 6 * time.Second
	idleTimeout   = 30 * time.Second
)

// join gets this life's number from the store, finds the other instances there and talks to them.
func (dmn *Daemon) join(ctx context.Context, lis net.Listener) error {
	set := &dmn.prm.Settings
	life, err := dmn.register(ctx)
	if err != nil {
		return nil //nolint:nilerr // only the end of ctx ends the tries
	}
	now := dmn.now()
	dmn.mu.Lock()
	dmn.life, dmn.round = life, life
	dmn.self = mesh.ID(set.Instance, life)
	dmn.desk = submission.NewDesk(submission.Config{
		Self: dmn.self, Domain: set.FailureDomain, Proof: proof, RetryAfter: retryAfter, Vacancy: vacancy, Link: dmn.uplink,
	}, now)
	dmn.deskDo(dmn.desk.SetClosed(now, dmn.domains.View().Closed))
	close(dmn.joined)
	dmn.council = succession.New(succession.DefaultConfig(), succession.Instance{
		ID: dmn.self, Domain: set.FailureDomain, Processor: set.Processor,
	}, now)
	dmn.mesh = mesh.New(mesh.Config{
		Name: set.Instance, Incarnation: life, Address: set.PeerAddress, HeartbeatInterval: beatInterval, MissedHeartbeats: silentBeats,
		CallTimeout: meshTimeout, Now: dmn.now,
	}, dmn.prm.Dial, dmn)
	dmn.redivide(now)
	dmn.mu.Unlock()
	dmn.log.Info().Int64("life", life).Msg("registered")
	dmn.group.Go(func() error { return dmn.follow(ctx, dmn.instances()) })
	dmn.group.Go(func() error { return dmn.runTicks(ctx) })
	dmn.group.Go(func() error { return dmn.logTraffic(ctx) })
	return dmn.mesh.Run(ctx, lis)
}

// register appends this process to the store's list of instances, over and over until it is there. The
// record's offset is the number of this life: no other process ever gets it, and later ones get higher ones.
func (dmn *Daemon) register(ctx context.Context) (int64, error) {
	rec := platform.Record{
		Key: dmn.prm.Settings.Instance, Value: platform.EncodeInstance(dmn.prm.Settings.PeerAddress),
	}
	for {
		cll, cancel := context.WithTimeout(ctx, storeTimeout)
		off, err := dmn.prm.Store.Append(cll, platform.InstancesTopic, rec)
		cancel()
		if err == nil {
			return off + 1, nil
		}
		dmn.log.Warn().Err(err).Msg("registering fails; trying again")
		if !pause(ctx, storePause) {
			return 0, ctx.Err()
		}
	}
}

// pause waits and reports whether ctx goes on. No time takes no timer.
func pause(ctx context.Context, dur time.Duration) bool {
	if dur <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(dur):
		return true
	}
}

// leave stops as planned: the balancer is told, the shards go to others, and every answer is waited for.
//
// Open connections stay until they are answered, with the word that they close: ended before, they would meet requests
// that are on their way.
func (dmn *Daemon) leave() {
	dmn.leaving.Store(true)
	dmn.log.Info().Msg("stopping")
	dmn.mu.Lock()
	if dmn.council != nil {
		dmn.council.SetLeaving()
		dmn.nudgeNear()
	}
	dmn.mu.Unlock()
	began := time.Now()
	last := dmn.prm.Settings.StopTimeout - stopReserve
	for time.Since(began) < last {
		time.Sleep(tickInterval)
		dmn.mu.Lock()
		open := len(dmn.callers)
		dmn.mu.Unlock()
		if open == 0 && time.Since(began) > balancerNotice {
			break
		}
	}
	dmn.giveUp()
	dmn.log.Info().Dur("after", time.Since(began)).Msg("handed over")
}

// giveUp answers the callers who still wait; their answers go out before the connections are closed.
func (dmn *Daemon) giveUp() {
	now := dmn.enter()
	open := len(dmn.callers)
	if dmn.desk != nil {
		dmn.deskDo(dmn.desk.GiveUp())
	}
	dmn.exit(now)
	if open > 0 {
		dmn.log.Warn().Int("jobs", open).Msg("giving up jobs that did not end in time")
	}
}

const (
	// balancerNotice is how long the balancer may send new connections after the first failed check: it
	// asks each second and believes the second answer.
	balancerNotice = 2500 * time.Millisecond
	// stopReserve is what is left of the time to the kill for the last answers to reach their callers.
	stopReserve = 400 * time.Millisecond
	// lastAnswers is how long requests that are being answered get at the end, with room for a slow machine.
	lastAnswers = 200 * time.Millisecond
)

// shardConfig returns the times of leaders, with leases no longer than backend servers grant: a longer one is
// shortened there, and would be renewed too late.
func (dmn *Daemon) shardConfig() shard.Config {
	cfg := shard.DefaultConfig()
	if most := dmn.prm.Settings.LongestLease; most > 0 {
		cfg.Lease = min(cfg.Lease, most)
		cfg.Wait = min(cfg.Wait, cfg.Lease/leaseRenewals)
	}
	return cfg
}

// leaseRenewals is how often a lease is renewed before it would end: one renewal may be lost, its timeout passes,
// and the next still comes in time.
const leaseRenewals = 3

func (dmn *Daemon) nextCall() submission.Call {
	dmn.lastCal++
	return dmn.lastCal
}
