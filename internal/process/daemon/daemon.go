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

	"chestnutstack/internal/connection/http1"
	"chestnutstack/internal/connection/mesh"
	"chestnutstack/internal/process/succession"
	"chestnutstack/internal/request/shard"
	"chestnutstack/internal/request/submission"
	"chestnutstack/internal/version/config"
	"chestnutstack/internal/version/domainlist"
	"chestnutstack/internal/version/serverlist"
	"chestnutstack/platform"
)

// Store is the part of the platform's metadata store that a daemon uses: topics of keyed records, addressed by offset.
type Store interface {
	Append(ctx context.Context, tpc platform.Topic, rec platform.Record) (offset int64, err error)
	Newest(ctx context.Context, tpc platform.Topic) (platform.Snapshot, error)
	Read(ctx context.Context, tpc platform.Topic, from int64, wait time.Duration) (platform.Chunk, error)
}

// Servers is the part of the backend servers' interface that a daemon calls.
type Servers interface {
	Start(ctx context.Context, srv platform.Server, run shard.RunID, payload string, token int64,
		until time.Duration) (shard.CallResult, time.Duration, error)
	Stop(ctx context.Context, srv platform.Server, run shard.RunID, token int64) (shard.CallResult, error)
	Hold(ctx context.Context, srv platform.Server, token, seen int64, until, wait time.Duration) (
		shard.RenewResult, shard.CallResult, error)
}

// Listeners are the listening sockets of a daemon: for submissions, readiness checks, other instances and metrics.
type Listeners struct {
	Callers, Ready, Peers, Metrics net.Listener
}

// Params are the dependencies and settings of a Daemon.
type Params struct {
	Settings platform.Settings
	Store    Store
	Servers  Servers
	// Dial opens the connections to other instances.
	Dial mesh.DialFunc
	// Now returns a clock reading that never steps and includes the time during which the machine was suspended.
	Now func() time.Time
	// Suspended returns for how long the machine was suspended in total; Now includes that time.
	Suspended func() time.Duration
	Log       zerolog.Logger
	// SettingsPath is the file that Settings were read from and that is reread on changes; if it is empty, Settings stay fixed.
	SettingsPath string
	// Counters are created by New if nil.
	Counters *counters
}

// Daemon is the process of one instance: it passes events to the decision types and executes the actions that they return.
type Daemon struct {
	prm   Params
	log   zerolog.Logger
	now   func() time.Time
	cnt   *counters
	paces storePaces

	// cfg is the configuration in force; cfgData is its encoded record, for sending it to instances with an older one.
	cfg     atomic.Pointer[config.Configuration]
	cfgData atomic.Pointer[[]byte]
	// stopping is set when the planned stop begins, leaving when others are to take over all shards that are still led here.
	stopping, leaving atomic.Bool
	// joined is closed once the instance is registered in the store, configured once a configuration is in force.
	joined, configured chan struct{}

	// mu guards the state of decisions, which follows. No call to another process is made while it is held.
	mu sync.Mutex
	// incarnation is unique to this process among all instances: a restart gets a higher one.
	incarnation int64
	self        shard.InstanceID
	// rounds numbers the fencing tokens; roundMark is the state of writing their mark to the store.
	rounds      *succession.Rounds
	roundMark   roundMark
	coordinator *submission.Coordinator
	elector     *succession.Elector
	// leaders has the leaders of the shards that this instance leads.
	leaders map[shard.Name]*shard.Leader
	// speedBook has the speeds that leaders have told; those of the shards led here were last told at speedsToldAt.
	speedBook    shard.SpeedBook
	speedsToldAt time.Time
	// uplink is the shared state of the link to the backend servers: its queues and how long an answer may take.
	uplink *shard.Uplink
	// serversByShard has the entries of the listed backend servers by shard.
	serversByShard map[succession.Shard][]shard.ServerEntry
	// divisions has the division into shards of each failure domain, as agreed with the other instances.
	divisions succession.Divisions
	// entries are the entries in the list of backend servers.
	entries map[shard.ServerID]shard.ServerEntry
	// missing are backend servers whose entries went away before it was surely known everywhere that they leave, if they do; leavingSince is since
	// when entries are marked as leaving here.
	missing      map[shard.ServerID]missingServer
	leavingSince map[shard.ServerID]time.Time
	// closedDomains has the failure domains closed to new work; refusedClosings counts the rejected closings that were logged.
	closedDomains   *domainlist.List
	refusedClosings int64
	// services are all services that a configuration has named since the start; servers of other services are never called.
	services map[string]bool
	// The last read of the list of backend servers began at listReadAt. coverage tells whether every server that may live is in the list,
	// follower keeps the offset up to which it is read, and a value in listReadRequested has it read at once.
	listReadAt        time.Time
	coverage          *serverlist.Coverage
	follower          *serverlist.Follower
	listReadRequested chan struct{}
	// callers are the calls of Submit that wait for their answers. They were last looked at at callersSeenAt, when callersSeenBefore was the last tick.
	callers                          map[submission.CallID]caller
	lastCall                         submission.CallID
	callersSeenAt, callersSeenBefore time.Time
	// jobQueries are those that wait for other instances.
	jobQueries jobQueries
	// suspended is the last value of Params.Suspended.
	suspended time.Duration
	// loadsSharedAt is when the loads of the own shards were last passed to the coordinator.
	loadsSharedAt time.Time
	// instancesRead is set once the list of instances was read from the store.
	instancesRead bool
	// reachability tracks whether the servers of leaderless shards in other failure domains answer; probes counts the probes sent.
	reachability map[shard.Name]*succession.Reachability
	probes       int
	// leadersChanged is set when this instance took over or resigned a shard, or the shards changed; the next tick then passes the leaders to
	// the coordinator. Changes that other instances report are passed at once.
	leadersChanged bool
	// lastTickAt is the time of the last tick, zero before the first; pausedSince is the last tick before the last long pause.
	lastTickAt, pausedSince time.Time
	// longPause is the length of the last long pause. Until socketsReadAt the sockets are read after it, and no job is submitted.
	longPause     time.Duration
	socketsReadAt time.Time
	// openOrdersWith are the instances with which unfinished orders exist, in either direction, as of openOrdersUpdatedAt.
	openOrdersWith      map[shard.InstanceID]bool
	openOrdersUpdatedAt time.Time
	// cfgAt is when the configuration came into force here; cfgFromPeer is set if another instance sent it.
	cfgAt       time.Time
	cfgFromPeer bool
	// configSentAt is when a configuration was last sent to each instance that is heard, firstHeardAt since when that one has been heard.
	configSentAt, firstHeardAt map[shard.InstanceID]time.Time
	listNews
	listLimit
	wholeLists
	// localActions are pending actions addressed to this instance itself.
	localActions []func(now time.Time)

	// callerServer serves the callers.
	callerServer *http1.Server

	mesh  *mesh.Mesh
	group *errgroup.Group
	ctx   context.Context //nolint:containedctx // set by Run for the calls that decisions start
}

// New returns a daemon that is started by Run.
func New(prm Params) *Daemon {
	if prm.Counters == nil {
		prm.Counters = &counters{}
	}
	pcs := newStorePaces(&prm.Settings)
	dmn := &Daemon{
		prm: prm, log: prm.Log, now: prm.Now, cnt: prm.Counters, paces: pcs,
		leaders: map[shard.Name]*shard.Leader{}, uplink: shard.NewUplink(prm.Settings.LinkBytes), divisions: succession.Divisions{},
		entries: map[shard.ServerID]shard.ServerEntry{}, missing: map[shard.ServerID]missingServer{}, leavingSince: map[shard.ServerID]time.Time{},
		services: map[string]bool{}, closedDomains: domainlist.New(prm.Settings.FailureDomains),
		callers:      map[submission.CallID]caller{},
		jobQueries:   newJobQueries(),
		configSentAt: map[shard.InstanceID]time.Time{}, firstHeardAt: map[shard.InstanceID]time.Time{},
		listNews:     newListNews(),
		listLimit:    newListLimit(&prm.Settings, &pcs, prm.Now()),
		wholeLists:   newWholeLists(),
		reachability: map[shard.Name]*succession.Reachability{}, openOrdersWith: map[shard.InstanceID]bool{},
		follower:          serverlist.NewFollower(pcs.list, prm.Now()),
		coverage:          serverlist.NewCoverage(serverlist.CoverageConfig{RecoveryTime: recoveryTime + pcs.list.ReadInterval, MaxUnlisted: maxUnlisted}),
		listReadRequested: make(chan struct{}, 1),
		joined:            make(chan struct{}), configured: make(chan struct{}),
	}
	dmn.callerServer = http1.NewServer(http1.Config{
		Handler: platform.Front(dmn), Limits: callerLimits(&prm.Settings), Log: prm.Log, Name: "callers",
	})
	return dmn
}

// The times of a daemon.
const (
	// An instance is lost after four missed heartbeats, 400 ms, plus up to half an interval until the next check. With 100 ms for stops
	// and the lease of 600 ms, the runs of a lost instance are over within minResendAfter.
	heartbeatInterval = 100 * time.Millisecond
	missedHeartbeats  = 4
	// meshTimeout is the timeout of a batch to another instance: 30 round trips to another failure domain.
	meshTimeout = 150 * time.Millisecond
	// tickInterval is the maximum delay of a decision that depends on time alone.
	tickInterval = 20 * time.Millisecond
	// minResendAfter is the shortest time after which a caller may resend a job: by then the runs of a lost instance are over, that is, after
	// missed heartbeats, stop timeout and lease.
	minResendAfter = 1300 * time.Millisecond
	// orphanExpiry is silence, stop timeout, lease expiry and a margin: the time after the loss of a leader when everything that it ran
	// for this instance is surely over.
	orphanExpiry = 1300 * time.Millisecond
	// retryAfter is the Retry-After of refused callers: 1 s is the shortest time that the header can express.
	retryAfter = time.Second
	// leaderlessTimeout is how long all shards may lack a leader before jobs are refused at once: a restart of all instances takes 1 s.
	leaderlessTimeout = 1500 * time.Millisecond
	// startWait is how long a request waits for a process that has just started.
	startWait = time.Second
	// pauseThreshold is the interval between ticks above which a process counts as paused: a dozen batches take it on a fifth of a core.
	pauseThreshold = 60 * time.Millisecond
	// After a pause of longPauseThreshold a process reads its sockets for socketReadTime before it starts any task: callers resend jobs
	// 1.3 s after they lost their connection, and owners start tasks elsewhere 1.7 s after they last heard a leader. On a fifth of a core
	// some hundred batches are read within 50 ms.
	longPauseThreshold = 500 * time.Millisecond
	socketReadTime     = 50 * time.Millisecond
	// suspensionThreshold is how long the machine may be suspended before the state of the process is stale: other instances are then
	// about to take over its shards.
	suspensionThreshold = 250 * time.Millisecond
)

// Run works until ctx ends, then hands over the shards and returns once callers have their answers; an error means that it failed before.
func (dmn *Daemon) Run(ctx context.Context, lis Listeners) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	grp, work := errgroup.WithContext(work)
	dmn.group, dmn.ctx = grp, work
	set := &dmn.prm.Settings
	if set.ResendAfter > 0 && set.ResendAfter < minResendAfter {
		dmn.log.Warn().Dur("resend-after", set.ResendAfter).
			Msg("clients resend jobs before the runs of a lost instance have surely ended")
	}
	dmn.log.Info().Str("failure-domain", set.FailureDomain).Str("callers", set.CallerAddress).
		Float64("processor", set.Processor).Msg("started")
	dmn.serveHTTP(work, countedListener{lis.Callers, &dmn.cnt.traffic.callers}, dmn.callerServer)
	dmn.serveHTTP(work, lis.Ready, dmn.newInternalServer("readiness", platform.Ready(dmn)))
	dmn.serveHTTP(work, lis.Metrics, dmn.newInternalServer("metrics", dmn.metricsHandler()))
	grp.Go(func() error { return dmn.followTopic(work, dmn.configurations()) })
	grp.Go(func() error { return dmn.followServerList(work) })
	grp.Go(func() error { return dmn.followDigests(work) })
	grp.Go(func() error { return dmn.join(work, lis.Peers) })
	if dmn.prm.SettingsPath != "" {
		grp.Go(func() error { return dmn.watchSettings(work, dmn.prm.SettingsPath) })
	}
	grp.Go(func() error {
		select {
		case <-ctx.Done():
			dmn.drain()
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

// newInternalServer returns a server for the platform's own checks.
func (dmn *Daemon) newInternalServer(name string, hdl http.Handler) *http1.Server {
	lim := http1.NewLimits(internalServerBytes, 0)
	return http1.NewServer(http1.Config{Handler: hdl, Limits: lim, Log: dmn.log, Name: name})
}

// internalServerBytes is the memory for which the limits of a server of the platform's own checks are computed: room for some twenty connections.
const internalServerBytes = 4 << 20

// serveHTTP serves in the background until ctx ends; requests that were read by then are still answered.
func (dmn *Daemon) serveHTTP(ctx context.Context, lis net.Listener, srv *http1.Server) {
	dmn.group.Go(func() error { return srv.Watch(ctx) })
	dmn.group.Go(func() error {
		if err := srv.Serve(lis); err != nil && ctx.Err() == nil {
			return err
		}
		return nil
	})
	dmn.group.Go(func() error {
		<-ctx.Done()
		last, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastAnswersTimeout)
		defer cancel()
		if err := srv.Shutdown(last); err != nil {
			dmn.log.Warn().Err(err).Msg("closing connections with unanswered requests")
		}
		return srv.Close()
	})
}

// join registers this process in the store, creates the decision types and exchanges heartbeats with the other instances until ctx ends.
func (dmn *Daemon) join(ctx context.Context, lis net.Listener) error {
	set := &dmn.prm.Settings
	life, err := dmn.register(ctx)
	if err != nil {
		return nil //nolint:nilerr // only the end of ctx ends the tries
	}
	now := dmn.now()
	dmn.mu.Lock()
	dmn.incarnation, dmn.rounds = life, succession.NewRounds(life)
	dmn.self = mesh.ID(set.Instance, life)
	dmn.coordinator = submission.NewCoordinator(submission.Config{
		Self: dmn.self, FailureDomain: set.FailureDomain, OrphanExpiry: orphanExpiry, RetryAfter: retryAfter, LeaderlessTimeout: leaderlessTimeout, Link: dmn.uplink,
		Features: set.Features,
	}, now)
	dmn.runCoordinatorActions(dmn.coordinator.HandleClosedDomains(now, dmn.closedDomains.View().Closed))
	close(dmn.joined)
	dmn.elector = succession.New(succession.DefaultConfig(), succession.Instance{
		ID: dmn.self, Domain: set.FailureDomain, Cores: set.Processor,
	}, now)
	dmn.mesh = mesh.New(mesh.Config{
		Name: set.Instance, Incarnation: life, Address: set.PeerAddress, HeartbeatInterval: heartbeatInterval, MissedHeartbeats: missedHeartbeats,
		CallTimeout: meshTimeout, Now: dmn.now,
	}, dmn.prm.Dial, dmn)
	dmn.limit.SetPosition(hashPosition(readerDuty + " " + string(dmn.self))) // In the order of DutyRank.
	dmn.updateShards(now)
	dmn.mu.Unlock()
	dmn.log.Info().Int64("life", life).Msg("registered")
	dmn.group.Go(func() error { return dmn.followTopic(ctx, dmn.instances()) })
	dmn.group.Go(func() error { return dmn.runTicks(ctx) })
	dmn.group.Go(func() error { return dmn.logTraffic(ctx) })
	return dmn.mesh.Run(ctx, lis)
}

// register appends this process to the store's list of instances, with retries until it succeeds, and returns its incarnation: the
// record's offset plus one, which no other process gets and which is higher for later ones.
func (dmn *Daemon) register(ctx context.Context) (int64, error) {
	rec := platform.Record{
		Key: dmn.prm.Settings.Instance, Value: platform.EncodeInstance(dmn.prm.Settings.PeerAddress),
	}
	for failures := 1; ; failures++ {
		cll, cancel := context.WithTimeout(ctx, storeTimeout)
		off, err := dmn.prm.Store.Append(cll, platform.InstancesTopic, rec)
		cancel()
		if err == nil {
			return off + 1, nil
		}
		dmn.log.Warn().Err(err).Msg("registration failed; retrying")
		if !sleepContext(ctx, dmn.retryPause(platform.InstancesTopic, failures)) {
			return 0, ctx.Err()
		}
	}
}

// sleepContext waits for dur and reports whether ctx is still live. It creates no timer if dur isn't positive.
func sleepContext(ctx context.Context, dur time.Duration) bool {
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

// shardConfig returns the timing parameters of leaders, with leases no longer than backend servers grant: a server shortens a longer
// one, and the leader would renew it too late.
func (dmn *Daemon) shardConfig() shard.Config {
	cfg := shard.DefaultConfig()
	cfg.Features = dmn.prm.Settings.Features
	if most := dmn.prm.Settings.LongestLease; most > 0 {
		cfg.LongestLease, cfg.Lease = most, min(cfg.Lease, most)
		cfg.RenewWait = min(cfg.RenewWait, cfg.Lease/leaseRenewals)
	}
	return cfg
}

// leaseRenewals is the number of renewals within a lease: after a lost renewal and its timeout, the next one still comes in time.
const leaseRenewals = 3

func (dmn *Daemon) nextCall() submission.CallID {
	dmn.lastCall++
	return dmn.lastCall
}
