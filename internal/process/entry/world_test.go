package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"chestnutstack/internal/connection/caller"
	"chestnutstack/internal/connection/http2"
	"chestnutstack/internal/process/backendstandin"
	"chestnutstack/internal/process/entry"
	"chestnutstack/internal/process/pipe"
	"chestnutstack/internal/process/platformstandin"
	"chestnutstack/internal/request/callerpb"
	"chestnutstack/internal/request/dispatch"
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/version/catalogue"
	"chestnutstack/internal/version/platform"
	"chestnutstack/internal/version/platformpb"
	"chestnutstack/internal/version/token"
)

const (
	partnerRiga   = job.Partner("riga")
	partnerAttica = job.Partner("attica")
)

// world is a whole system in virtual time: real entry instances and stand-ins, joined by pipes.
type world struct {
	t       *testing.T
	net     *pipe.Network
	began   time.Time
	plt     *platformstandin.StandIn
	grp     *errgroup.Group
	ctx     context.Context //nolint:containedctx // the life of the test's processes
	entries map[string]*process
	servers map[string]*backendstandin.Server
	tokens  map[job.Partner]string
	// stops ends backend servers.
	stops map[string]context.CancelFunc

	mu  sync.Mutex
	out bytes.Buffer
}

// process is an entry instance that can be stopped or killed.
type process struct {
	stop context.CancelFunc
	done chan struct{}
	clk  *stoppableClock
}

// stoppableClock is the clock of a process, which stands while the process does.
type stoppableClock struct {
	mu        sync.Mutex
	stoppedAt time.Time
}

func (clk *stoppableClock) now() time.Time {
	clk.mu.Lock()
	defer clk.mu.Unlock()
	if !clk.stoppedAt.IsZero() {
		return clk.stoppedAt
	}
	return time.Now()
}

func (clk *stoppableClock) stop() {
	clk.mu.Lock()
	defer clk.mu.Unlock()
	clk.stoppedAt = time.Now()
}

func (clk *stoppableClock) resume() {
	clk.mu.Lock()
	defer clk.mu.Unlock()
	clk.stoppedAt = time.Time{}
}

type shape struct {
	entries, domains, servers int
	slots                     uint32
}

// inWorld runs a test in virtual time and ends the system after it.
func inWorld(t *testing.T, shp shape, body func(wld *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		wld := &world{
			t: t, net: pipe.New(), began: time.Now(), ctx: ctx, grp: &errgroup.Group{},
			plt:     platformstandin.New(platformstandin.Config{}),
			entries: map[string]*process{}, servers: map[string]*backendstandin.Server{},
			tokens: map[job.Partner]string{}, stops: map[string]context.CancelFunc{},
		}
		for _, par := range []job.Partner{partnerRiga, partnerAttica} {
			wld.tokens[par] = token.Generate(string(par) + "/test")
		}
		wld.servePlatform()
		for idx := range shp.servers {
			wld.startServer(fmt.Sprintf("backend-%d", idx+1), fmt.Sprintf("domain-%d", idx%shp.domains+1), shp.slots)
		}
		for idx := range shp.entries {
			wld.startEntry(fmt.Sprintf("entry-%d", idx+1), fmt.Sprintf("domain-%d", idx%shp.domains+1))
		}
		wld.awaitReady()
		wld.applyCatalogue()
		body(wld)
		for _, prc := range wld.entries {
			prc.stop()
		}
		for _, prc := range wld.entries {
			<-prc.done
		}
		cancel()
		if err := wld.grp.Wait(); err != nil {
			t.Errorf("processes: %v", err)
		}
		wld.net.Close()
		synctest.Wait()
	})
}

func (wld *world) servePlatform() {
	lis := wld.net.Listen("platform:1")
	wld.grp.Go(func() error { return wld.plt.Serve(wld.ctx, lis) })
}

func (wld *world) startServer(id, domain string, slots uint32) {
	inc := fmt.Sprintf("life-%d", time.Now().UnixNano())
	srv := backendstandin.New(backendstandin.Config{ID: id, Slots: slots, Incarnation: inc})
	wld.servers[id] = srv
	lis := wld.net.Listen(id + ":1")
	ctx, stop := context.WithCancel(wld.ctx)
	wld.stops[id] = stop
	wld.grp.Go(func() error {
		err := srv.Serve(ctx, lis)
		if ctx.Err() != nil {
			return nil
		}
		return err
	})
	wld.list(&platformpb.Instance{
		Id: id, Incarnation: inc, Kind: platformpb.InstanceKind_INSTANCE_KIND_BACKEND_SERVER,
		Address: id + ":1", FailureDomain: domain, Rack: domain + "-rack", Worker: id, Slots: slots,
		Processors: 32, MemoryBytes: 128 << 30,
	})
}

func (wld *world) list(ins *platformpb.Instance) {
	if err := wld.plt.PutInstance(ins, false); err != nil {
		wld.t.Fatal(err)
	}
}

func (wld *world) startEntry(id, domain string) { wld.list(wld.startUnlisted(id, domain)) }

// startUnlisted starts an entry instance and returns what is to be listed of it.
func (wld *world) startUnlisted(id, domain string) *platformpb.Instance {
	var toks []catalogue.Token
	for par, tok := range wld.tokens {
		toks = append(toks, catalogue.Token{
			Name: string(par) + "/test", Partner: par, Role: catalogue.RoleOperator, Hash: token.Hash(tok),
		})
	}
	clk := &stoppableClock{}
	cfg := entry.Config{
		Now: clk.now,
		ID:  id, Incarnation: fmt.Sprintf("life-%d", time.Now().UnixNano()), FailureDomain: domain,
		Callers: wld.net.Listen(id + ":1"), Peers: wld.net.Listen(id + ":2"),
		SeedPeers: []string{"entry-1:2", "entry-2:2", "entry-3:2"},
		Dial:      wld.net.Dialer(id), Tokens: toks, PeerToken: "shared-by-all-entries",
		DrainTimeout: time.Minute, Notice: time.Second, Seed: uint64(len(wld.entries) + 1), Dispatch: dispatch.DefaultConfig(),
	}
	plt := platform.New(http2.NewClient(nil, wld.net.Dialer(id)), "http://platform:1", 5*time.Second)
	ins := entry.New(cfg, plt, zerolog.Nop())
	ctx, stop := context.WithCancel(wld.ctx)
	prc := &process{stop: stop, done: make(chan struct{}), clk: clk}
	wld.entries[id] = prc
	wld.grp.Go(func() error {
		defer close(prc.done)
		return ins.Run(ctx)
	})
	return entry.Listed(cfg)
}

// kill ends an entry instance as a crash does: every connection closes at once, and nothing that it
// still does reaches anybody.
func (wld *world) kill(id string) {
	wld.net.Drop(id)
	wld.net.Isolate(id)
	prc := wld.entries[id]
	delete(wld.entries, id)
	prc.stop()
}

// killServer ends a backend server as the loss of its worker does.
func (wld *world) killServer(id string) {
	wld.stops[id]()
	wld.net.Drop(id)
}

func (wld *world) client() *http.Client { return http2.NewClient(nil, wld.net.Dialer("caller")) }

func (wld *world) awaitReady() {
	cli := wld.client()
	defer cli.CloseIdleConnections()
	for id := range wld.entries {
		for !wld.isReady(cli, id) {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (wld *world) isReady(cli *http.Client, id string) bool {
	res, err := cli.Get("http://" + id + ":1" + entry.PathReady)
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	return res.StatusCode == http.StatusOK
}

func (wld *world) applyCatalogue() {
	for par, names := range map[job.Partner][]string{
		partnerRiga:   {"riga/thumbnail", "riga/export"},
		partnerAttica: {"attica/quotation", "attica/dispatch-order"},
	} {
		var ents []*callerpb.CatalogueEntry
		for _, name := range names {
			once := strings.HasSuffix(name, "export") || strings.HasSuffix(name, "order")
			ents = append(ents, &callerpb.CatalogueEntry{
				Name: name, Owner: string(par), Class: "interactive", Repeatable: !once, Prefer: "response",
				Limits: &callerpb.Limits{Concurrency: 100}, ExpectedRunTime: durationpb.New(100 * time.Millisecond),
				Needs:     &callerpb.ResourceNeeds{Processors: 1, MemoryBytes: 1 << 30},
				Objective: &callerpb.Objective{Target: durationpb.New(time.Second), Share: 0.99},
			})
		}
		for _, out := range wld.apply("entry-1", par, ents...) {
			if !out.GetAccepted() {
				wld.t.Fatalf("catalogue entry rejected: %v", out)
			}
		}
	}
	// In force everywhere within seconds: every entry instance has the versions before the test begins.
	time.Sleep(4 * time.Second)
}

func (wld *world) apply(at string, par job.Partner, ents ...*callerpb.CatalogueEntry) []*callerpb.EditOutcome {
	cli := wld.client()
	defer cli.CloseIdleConnections()
	svc := callerpb.NewCatalogueServiceClient(cli, "http://"+at+":1", connect.WithInterceptors(caller.Bearer(wld.tokens[par])))
	res, err := svc.Apply(wld.ctx, connect.NewRequest(&callerpb.ApplyRequest{Entries: ents}))
	if err != nil {
		wld.t.Fatalf("apply: %v", err)
	}
	return res.Msg.GetOutcomes()
}

// result is what a caller saw of a submission.
type result struct {
	err    error
	took   time.Duration
	answer *callerpb.Answer
}

// submission is what a caller asks for; the payloads are those of the backend server stand-in.
type submission struct {
	at      string
	partner job.Partner
	entry   string
	id      string
	again   bool
	tasks   []string
	limit   time.Duration
}

// submit sends a submission and waits for its answer, which is checked against the request.
func (wld *world) submit(sub submission) result {
	if sub.limit == 0 {
		sub.limit = 30 * time.Second
	}
	req := &callerpb.SubmitRequest{
		SubmissionId: sub.id, CatalogueEntry: sub.entry, Resubmission: sub.again,
		NotAfter: timestamppb.New(time.Now().Add(sub.limit)),
	}
	for _, pay := range sub.tasks {
		req.Tasks = append(req.Tasks, &callerpb.Task{Payload: []byte(pay)})
	}
	cli := wld.client()
	defer cli.CloseIdleConnections()
	svc := callerpb.NewJobServiceClient(cli, "http://"+sub.at+":1", connect.WithInterceptors(caller.Bearer(wld.tokens[sub.partner])))
	began := time.Now()
	res, err := svc.Submit(wld.ctx, connect.NewRequest(req))
	out := result{err: err, took: time.Since(began)}
	if err == nil {
		out.answer = res.Msg
		wld.checkWhole(sub, res.Msg)
	}
	return out
}

// checkWhole fails the test if an answer is not the whole answer to its own request.
func (wld *world) checkWhole(sub submission, ans *callerpb.Answer) {
	if len(ans.GetTasks()) != len(sub.tasks) {
		wld.t.Errorf("%s: %d parts for %d tasks", sub.id, len(ans.GetTasks()), len(sub.tasks))
		return
	}
	for idx, pay := range sub.tasks {
		want := backendstandin.Answer(caller.Scoped(sub.partner, sub.id), uint32(idx), []byte(pay))
		if got := ans.GetTasks()[idx].GetPayload(); !bytes.Equal(got, want) {
			wld.t.Errorf("%s: task %d: answer %q, want %q", sub.id, idx, got, want)
		}
	}
}

// starts returns how often tasks of a submission were started, by index, at all backend servers.
func (wld *world) starts(par job.Partner, id string) map[uint32]int {
	cnt := map[uint32]int{}
	for _, srv := range wld.servers {
		for _, ent := range srv.Journal() {
			if ent.Task.Submission() == caller.Scoped(par, id) {
				cnt[ent.Task.Index()]++
			}
		}
	}
	return cnt
}

// noDoubleStarts fails the test if a task was started twice, by any attempt.
func (wld *world) noDoubleStarts() {
	wld.t.Helper()
	var jns [][]backendstandin.JournalEntry
	for _, srv := range wld.servers {
		jns = append(jns, srv.Journal())
	}
	if dbl := backendstandin.DoubleStarts(jns...); len(dbl) > 0 {
		wld.t.Errorf("%d tasks started twice, first %v", len(dbl), dbl[0])
	}
}

// fault sets the faults of a stand-in.
func (wld *world) faultPlatform(flt *platformpb.Faults) { wld.plt.InjectFaults(flt) }

// say writes a line of the session with the virtual time, in whole seconds: which of several
// goroutines goes first at the same moment differs between runs and moves a line by some tenths.
func (wld *world) say(format string, args ...any) {
	wld.mu.Lock()
	defer wld.mu.Unlock()
	fmt.Fprintf(&wld.out, "%6d s  %s\n", int(time.Since(wld.began).Seconds()), fmt.Sprintf(format, args...))
}

// verdictOf returns what a caller is told, as a line of a session.
func verdictOf(res result) string {
	if res.err == nil {
		return fmt.Sprintf("done, %d answers", len(res.answer.GetTasks()))
	}
	ver := caller.FromError(res.err)
	txt := ver.Verdict().String() + ", " + ver.Reason()
	if ver.RetryAfter() > 0 {
		txt += fmt.Sprintf(", try again in %v", ver.RetryAfter())
	}
	return txt
}
