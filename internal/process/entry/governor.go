package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/types/known/timestamppb"

	"chestnutstack/internal/connection/caller"
	"chestnutstack/internal/connection/member"
	"chestnutstack/internal/connection/peer"
	"chestnutstack/internal/process/metrics"
	"chestnutstack/internal/request/callerpb"
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/version/catalogue"
	"chestnutstack/internal/version/platform"
	"chestnutstack/internal/version/token"
)

const (
	catalogueStream = "chestnutstack-catalogue"
	// followWait bounds how long a read on a connection gone silent goes unnoticed.
	followWait   = 5 * time.Second
	appendWindow = 5 * time.Millisecond
	// The platform keeps records for an hour or more; a quarter of it leaves time for others to step in.
	snapshotInterval = 15 * time.Minute
	snapshotRecords  = 5000
	snapshotStagger  = 30 * time.Second
	snapshotEvery    = 5 * time.Second
	noRank           = 1000
)

// governor keeps the catalogue that governs the pool: it follows the platform's log, edits it, and
// hands it on to peers.
type governor struct {
	ins *Instance
	flw *platform.Follower
	app *platform.Appender
	edt *platform.Editor
	snp *platform.Snapshotter
}

func newGovernor(ins *Instance, plt platform.Log, bud *platform.Budget) *governor {
	gov := &governor{ins: ins}
	gov.flw = platform.NewFollower(platform.FollowerConfig{
		Log:    plt,
		Stream: catalogueStream,
		Peers:  cataloguePeers{ins: ins},
		Wait:   followWait,
		// A new version is in force once the limits have it; jobs ask for their class one by one.
		Observe: func([]platform.Logged) { gov.enforce() },
		Seed:    ins.cfg.Seed,
	})
	gov.app = platform.NewAppender(platform.AppenderConfig{
		Log:      plt,
		Stream:   catalogueStream,
		Budget:   bud,
		Window:   appendWindow,
		Floor:    gov.flw.Offset,
		Identify: platform.IdentifyRecord,
		Seed:     ins.cfg.Seed,
	})
	gov.edt = platform.NewEditor(gov.app, gov.flw)
	gov.snp = platform.NewSnapshotter(platform.SnapshotterConfig{
		Editor:   gov.edt,
		Follower: gov.flw,
		Rule: catalogue.SnapshotRule{
			Interval: snapshotInterval,
			Records:  snapshotRecords,
			Stagger:  snapshotStagger,
		},
		Rank:     gov.snapshotRank,
		Instance: ins.name,
		Every:    snapshotEvery,
		Observe:  gov.snapshotWritten,
	})
	return gov
}

func (gov *governor) run(ctx context.Context) error {
	grp, ctx := errgroup.WithContext(ctx)
	grp.Go(func() error { return gov.flw.Run(ctx) })
	grp.Go(func() error { return gov.app.Run(ctx) })
	grp.Go(func() error { return gov.snp.Run(ctx) })
	return ignoreCancel(ctx, grp.Wait())
}

// snapshotRank returns whose turn after others' it is; an instance that takes no duty is far behind.
func (gov *governor) snapshotRank() int {
	if rnk := gov.ins.view.rank(catalogueStream); rnk >= 0 {
		return rnk
	}
	return noRank
}

func (gov *governor) snapshotWritten(err error) {
	if err != nil {
		gov.ins.log.Warn().Err(err).Msg("snapshot not written")
		return
	}
	gov.ins.log.Info().Uint64("version", gov.flw.Offset()).Msg("snapshot written")
}

func ignoreCancel(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// enforce hands the classes of the newest version to the limits.
func (gov *governor) enforce() {
	classes := gov.flw.Classes()
	gov.ins.decide(func(now time.Time) { gov.ins.limits.SetClasses(now, classes) })
	off := gov.flw.Offset()
	gov.ins.view.note(func(now time.Time, trk *member.Tracker) { trk.SetCatalogueOffset(now, off) })
}

// hint takes in which offset a peer has reached.
func (gov *governor) hint(offset uint64) {
	if offset > 0 {
		gov.flw.Hint(offset)
	}
}

// Ready returns why nothing can be served yet, or nil.
func (gov *governor) Ready() error {
	if rdy, reason := gov.flw.Ready(); !rdy {
		return errors.Newf("the catalogue is not known: %s", reason)
	}
	return nil
}

// Class implements caller.Classes.
func (gov *governor) Class(name string) (*job.Class, bool) {
	cls := gov.flw.Class(name)
	return cls, cls != nil
}

// Entry implements caller.Catalogue.
func (gov *governor) Entry(name string) (catalogue.Entry, bool) { return gov.flw.Entry(name) }

// Entries implements caller.Catalogue.
func (gov *governor) Entries() ([]catalogue.Entry, uint64) { return gov.flw.List() }

// Edit implements caller.Catalogue.
func (gov *governor) Edit(ctx context.Context, who token.Identity, ents []catalogue.Entry) ([]catalogue.Outcome, error) {
	return gov.edt.Edit(ctx, who.Author(), ents)
}

// EditTokens implements caller.Catalogue. A token is rotated far more often than two operators race for
// it, so the version that an edit is based on is looked up here; the rule still lets one of two win.
func (gov *governor) EditTokens(ctx context.Context, who token.Identity, toks []catalogue.Token) ([]catalogue.Outcome, error) {
	for idx := range toks {
		if cur, ok := gov.flw.Token(toks[idx].Name); ok {
			toks[idx].Version = cur.Version
		}
	}
	return gov.edt.EditTokens(ctx, who.Author(), toks)
}

// Edits implements caller.Catalogue.
func (gov *governor) Edits(owner job.Partner, from uint64, limit int) ([]*callerpb.LoggedEdit, uint64) {
	lgs, earliest := gov.flw.Log(from, limit)
	var edts []*callerpb.LoggedEdit
	for _, lgd := range lgs {
		if lgd.Record.Edit.Owner() != owner {
			continue
		}
		edts = append(edts, &callerpb.LoggedEdit{
			Offset:  lgd.Outcome.Offset,
			Author:  lgd.Record.Author.Name,
			Time:    timestamppb.New(lgd.Record.Time),
			Entry:   catalogue.EntryToProto(*lgd.Record.Edit),
			Outcome: caller.EditOutcome(lgd.Record.Edit.Name(), lgd.Outcome),
		})
	}
	return edts, earliest
}

// RecordsSince answers a peer that is behind.
func (gov *governor) RecordsSince(_ context.Context, offset uint64) (peer.Records, error) {
	raws, complete := gov.flw.Since(offset)
	if !complete {
		return peer.Records{Earliest: gov.flw.Offset() + 1, Next: gov.flw.Offset() + 1}, nil
	}
	rcs := peer.Records{Earliest: offset + 1, Next: gov.flw.Offset() + 1}
	for _, raw := range raws {
		rcs.Records = append(rcs.Records, peer.Record{Offset: raw.Offset, Data: raw.Data})
	}
	return rcs, nil
}

// PeerSnapshot answers a peer that is further behind than records are kept.
func (gov *governor) PeerSnapshot(context.Context) (peer.Snapshot, error) {
	dat, err := gov.flw.Snapshot()
	return peer.Snapshot{Offset: gov.flw.Offset(), Data: dat}, err
}

// cataloguePeers implements platform.PeerSource.
type cataloguePeers struct{ ins *Instance }

var errNoPeer = errors.New("no peer answers")

// Since implements platform.PeerSource.
func (src cataloguePeers) Since(ctx context.Context, offset uint64) ([]platform.Record, bool, error) {
	answered := false
	for _, tgt := range src.ins.peerTargets() {
		rcs, err := src.ins.peers.CatalogueSince(ctx, tgt, offset)
		src.ins.peerEvidence(tgt.ID, err)
		answered = answered || err == nil
		if err != nil || rcs.Next <= offset+1 {
			continue
		}
		raws := make([]platform.Record, 0, len(rcs.Records))
		for _, rec := range rcs.Records {
			raws = append(raws, platform.Record{Offset: rec.Offset, Data: rec.Data})
		}
		return raws, rcs.Earliest <= offset+1, nil
	}
	if !answered {
		return nil, true, errNoPeer
	}
	return nil, true, nil
}

// Snapshot implements platform.PeerSource.
func (src cataloguePeers) Snapshot(ctx context.Context) ([]byte, error) {
	var best peer.Snapshot
	for _, tgt := range src.ins.peerTargets() {
		snp, err := src.ins.peers.CatalogueSnapshot(ctx, tgt)
		src.ins.peerEvidence(tgt.ID, err)
		if err == nil && snp.Offset > best.Offset {
			best = snp
		}
	}
	if best.Data == nil {
		return nil, errNoPeer
	}
	return best.Data, nil
}

// countedLog counts what the platform's log costs: a call and its reply.
type countedLog struct {
	platform.Log
	met *metrics.Set
}

// Append implements platform.Log.
func (log countedLog) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	log.met.Count(metrics.Log, 2)
	return log.Log.Append(ctx, stream, records)
}

// Read implements platform.Log.
func (log countedLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (platform.Page, error) {
	log.met.Count(metrics.Log, 2)
	return log.Log.Read(ctx, stream, from, limit, wait)
}
