package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
	"golang.org/x/sync/errgroup"

	"chestnutstack/internal/connection/caller"
	"chestnutstack/internal/connection/http2"
	"chestnutstack/internal/process/load"
	"chestnutstack/internal/request/callerpb"
	"chestnutstack/internal/version/platform"
)

type loadCommand struct {
	Platform    string        `help:"Base URL of the platform, whose list names entry instances and backend servers." default:"http://127.0.0.1:7500"`
	Servers     []string      `help:"Base URLs of entry instances, in place of the platform's list."`
	Token       []string      `help:"Bearer token of each partner whose profile is sent, riga or attica; the token's name says which."`
	Seed        uint64        `help:"Seed of arrivals, sizes and run times." default:"1"`
	Rate        float64       `help:"Mean number of jobs a second; by default what --share of the slots needs."`
	Share       float64       `help:"Share of the pool's slots that the load keeps busy." default:"0.4"`
	Duration    time.Duration `help:"How long jobs arrive." default:"20s"`
	Jobs        int           `help:"At most this many jobs." default:"100000"`
	InFlight    int           `help:"At most this many calls at once." default:"5000"`
	Deadline    time.Duration `help:"How long after it is due a job's last task may start." default:"30s"`
	Retries     int           `help:"How often a refused submission is sent again." default:"0"`
	Skew        float64       `help:"Share of the jobs that go to the first entry instance."`
	Bursts      bool          `help:"Let the rate vary around its mean."`
	CancelShare float64       `help:"Share of the jobs that a wave of cancels hits."`
	TwinShare   float64       `help:"Share of the submissions that arrive twice."`
	KeepEntries bool          `help:"Do not send the profile's catalogue entries first."`
	JSON        bool          `name:"json" help:"Print JSON."`
}

// Help is shown below the usage.
func (*loadCommand) Help() string {
	return "Ends with status 1 if a task started twice or an answer was wrong or not whole.\n\n" +
		"Example:\n  chestnutstack load --platform http://127.0.0.1:7500 --token $ATTICA_TOKEN --duration 60s"
}

func (cmd *loadCommand) check() error {
	var prb problems
	for flag, val := range map[string]float64{
		"--share": cmd.Share, "--skew": cmd.Skew, "--cancel-share": cmd.CancelShare, "--twin-share": cmd.TwinShare,
	} {
		if val < 0 || val > maxShare {
			prb.add(flag, val, fmt.Sprintf("0 to %g", maxShare))
		}
	}
	prb.url("--platform", cmd.Platform)
	for _, url := range cmd.Servers {
		prb.url("--servers", url)
	}
	if cmd.Rate < 0 {
		prb.add("--rate", cmd.Rate, "0 or more")
	}
	if cmd.Retries < 0 {
		prb.add("--retries", cmd.Retries, "0 or more")
	}
	prb.positive("--deadline", cmd.Deadline)
	if len(cmd.Token) == 0 {
		prb.add("--token", "", "the bearer token of a partner")
	}
	if cmd.Duration <= 0 || cmd.Duration > maxLoadDuration {
		prb.add("--duration", cmd.Duration, "more than 0 and at most "+maxLoadDuration.String())
	}
	if cmd.Jobs < 1 || cmd.Jobs > maxLoadJobs {
		prb.add("--jobs", cmd.Jobs, fmt.Sprintf("1 to %d", maxLoadJobs))
	}
	if cmd.InFlight < 1 || cmd.InFlight > maxLoadInFlight {
		prb.add("--in-flight", cmd.InFlight, fmt.Sprintf("1 to %d", maxLoadInFlight))
	}
	return prb.err()
}

// A load stays bounded whatever its flags say.
const (
	maxShare        = 4.0
	maxLoadDuration = time.Hour
	maxLoadJobs     = 10_000_000
	maxLoadInFlight = 50_000
)

// pool is what a load is sent to.
type pool struct {
	entries  []string
	backends []string
	slots    int
}

// Run implements the command.
func (cmd *loadCommand) Run(ctx context.Context, str *streams) error {
	if err := cmd.check(); err != nil {
		return err
	}
	pol, err := cmd.pool(ctx)
	if err != nil {
		return err
	}
	pars, err := cmd.partners(ctx, pol)
	if err != nil {
		return err
	}
	rep, err := cmd.runLoad(ctx, str, load.Config{
		Entries:     pol.entries,
		Journals:    pol.backends,
		Partners:    pars,
		Seed:        cmd.Seed,
		Run:         ulid.Make().String(),
		Duration:    cmd.Duration,
		Jobs:        cmd.Jobs,
		InFlight:    cmd.InFlight,
		Deadline:    cmd.Deadline,
		Retries:     cmd.Retries,
		Skew:        cmd.Skew,
		Bursts:      cmd.Bursts,
		CancelShare: cmd.CancelShare,
		TwinShare:   cmd.TwinShare,
	})
	if err != nil {
		return err
	}
	write := rep.WriteTable
	if cmd.JSON {
		write = rep.WriteJSON
	}
	if err := write(str.out); err != nil {
		return err
	}
	if rep.Failed() {
		return errors.Newf("%d double starts, %d wrong answers, %d false not-run", rep.DoubleStarts(), rep.Wrong(), rep.FalseNotRun())
	}
	return nil
}

// runLoad runs the load and tells a person how far it is.
func (cmd *loadCommand) runLoad(ctx context.Context, str *streams, cfg load.Config) (*load.Report, error) {
	var rep *load.Report
	began := time.Now()
	done := make(chan struct{})
	var grp errgroup.Group
	grp.Go(func() (err error) {
		defer close(done)
		rep, err = load.Run(ctx, cfg)
		return err
	})
	grp.Go(func() error {
		tck := time.NewTicker(time.Second)
		defer tck.Stop()
		for {
			select {
			case <-done:
				clearLine(str.err)
				return nil
			case <-tck.C:
				progressLine(str.err, fmt.Sprintf("load: %v of %v", time.Since(began).Round(time.Second), cmd.Duration))
			}
		}
	})
	err := grp.Wait()
	return rep, err
}

// partners returns a load for each token; the token's name says whose it is.
func (cmd *loadCommand) partners(ctx context.Context, pol pool) ([]load.Partner, error) {
	var pars []load.Partner
	for _, tok := range cmd.Token {
		prf, ok := load.Profiles()[partnerOf(tok)]
		if !ok {
			return nil, &usageError{cause: errors.New("--token: want a token of riga or attica, such as riga/NAME.SECRET")}
		}
		if !cmd.KeepEntries {
			if err := sendEntries(ctx, pol, prf, tok); err != nil {
				return nil, err
			}
		}
		rate := cmd.Rate
		if rate == 0 {
			rate = load.RateFor(prf, pol.slots, cmd.Share/float64(len(cmd.Token)))
		}
		pars = append(pars, load.Partner{Profile: prf, Token: tok, Rate: rate})
	}
	return pars, nil
}

func partnerOf(token string) string {
	par, _, _ := strings.Cut(token, "/")
	return par
}

// pool asks the platform for what --servers does not name.
func (cmd *loadCommand) pool(ctx context.Context) (pool, error) {
	pol := pool{entries: cmd.Servers}
	cli := platform.New(http2.NewClient(nil, nil), cmd.Platform, platformTimeout)
	lst, err := cli.Instances(ctx)
	if err != nil {
		return pool{}, err
	}
	for _, ins := range lst {
		url := http2.URL(ins.Address, nil)
		switch {
		case ins.Kind == platform.KindBackendServer:
			pol.backends = append(pol.backends, url)
			pol.slots += int(ins.Slots)
		case ins.Kind == platform.KindEntry && len(cmd.Servers) == 0:
			pol.entries = append(pol.entries, url)
		}
	}
	if len(pol.entries) == 0 {
		return pool{}, errors.New("no entry instance is known: give --servers or a --platform that lists some")
	}
	return pol, nil
}

// sendEntries makes the profile's catalogue entries be in force, whatever their versions are.
func sendEntries(ctx context.Context, pol pool, prf load.Profile, token string) error {
	svc := callerpb.NewCatalogueServiceClient(http2.NewClient(nil, nil), pol.entries[0],
		connect.WithInterceptors(caller.Bearer(token)))
	req := &callerpb.ApplyRequest{Entries: prf.Catalogue()}
	for _, ent := range req.GetEntries() {
		cur, err := svc.Get(ctx, connect.NewRequest(&callerpb.GetEntryRequest{Name: ent.GetName()}))
		if err == nil {
			ent.Version = cur.Msg.GetVersion()
		}
	}
	res, err := svc.Apply(ctx, connect.NewRequest(req))
	if err != nil {
		return caller.FromError(err)
	}
	for _, out := range res.Msg.GetOutcomes() {
		if !out.GetAccepted() {
			return errors.Newf("catalogue entry %s rejected: %s", out.GetName(), out.GetReason())
		}
	}
	return nil
}
