package burn

import (
	"context"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"chestnutstack/internal/process/metrics"
	"chestnutstack/internal/request/callerpb"
	"chestnutstack/internal/request/job"
)

// Config says where the report comes from.
type Config struct {
	// Entries are the base URLs of the entry instances, which show their variables and serve the
	// catalogue.
	Entries []string
	// Client makes the calls; plain HTTP/1 by default.
	Client connect.HTTPClient
	// Token is the bearer token of a partner; none if empty. The report shows the partners whose
	// catalogue entries it allows to see, and no other.
	Token string
	// Objectives are used instead of the catalogue's if there are any.
	Objectives []Objective
}

const (
	fetchTimeout = 10 * time.Second
	// fetchers bounds the entry instances that are read at once.
	fetchers = 16
)

// Run reads the objectives and every entry instance and returns the report. Entry instances that
// do not answer are named in it; it is an error if none does.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	if cfg.Client == nil {
		cfg.Client = &http.Client{Timeout: fetchTimeout}
	}
	if len(cfg.Objectives) > 0 {
		return report(cfg.Objectives, fetchSources(ctx, cfg))
	}
	entries, err := fetchCatalogue(ctx, cfg)
	if err != nil {
		return nil, err
	}
	owners := ownersOf(entries)
	sources := fetchSources(ctx, cfg)
	for idx, src := range sources {
		if src.Snapshot != nil {
			sources[idx].Snapshot = src.Snapshot.Only(owners...)
		}
	}
	return report(objectivesOf(entries), sources)
}

func report(objectives []Objective, sources []Source) (*Report, error) {
	if !slices.ContainsFunc(sources, func(src Source) bool { return src.Snapshot != nil }) {
		return nil, errors.New("burn: no entry instance shows its variables")
	}
	return New(objectives, sources)
}

func fetchSources(ctx context.Context, cfg Config) []Source {
	out := make([]Source, len(cfg.Entries))
	var grp errgroup.Group
	grp.SetLimit(fetchers)
	for idx, url := range cfg.Entries {
		grp.Go(func() error {
			ctx, stop := context.WithTimeout(ctx, fetchTimeout)
			defer stop()
			out[idx].Name = url
			snp, err := metrics.Fetch(ctx, cfg.Client, url, cfg.Token)
			if err == nil {
				out[idx].Snapshot = snp
			}
			return nil
		})
	}
	// The functions of the group return no error: the report names who is missing.
	_ = grp.Wait()
	return out
}

// fetchCatalogue asks one entry instance after the other.
func fetchCatalogue(ctx context.Context, cfg Config) ([]*callerpb.CatalogueEntry, error) {
	err := errors.New("burn: no entry instance named")
	for _, url := range cfg.Entries {
		var rsp *connect.Response[callerpb.ListResponse]
		if rsp, err = list(ctx, cfg, url); err == nil {
			return rsp.Msg.GetEntries(), nil
		}
	}
	return nil, errors.Wrap(err, "burn: catalogue")
}

func list(
	ctx context.Context, cfg Config, url string,
) (*connect.Response[callerpb.ListResponse], error) {
	ctx, stop := context.WithTimeout(ctx, fetchTimeout)
	defer stop()
	req := connect.NewRequest(&callerpb.ListRequest{})
	if cfg.Token != "" {
		req.Header().Set("Authorization", "Bearer "+cfg.Token)
	}
	return callerpb.NewCatalogueServiceClient(cfg.Client, url).List(ctx, req)
}

func ownersOf(entries []*callerpb.CatalogueEntry) []job.Partner {
	var out []job.Partner
	for _, ent := range entries {
		if owner := job.Partner(ent.GetOwner()); !slices.Contains(out, owner) {
			out = append(out, owner)
		}
	}
	return out
}

func objectivesOf(entries []*callerpb.CatalogueEntry) []Objective {
	var out []Objective
	for _, ent := range entries {
		if ent.GetDeleted() || ent.GetObjective() == nil {
			continue
		}
		out = append(out, Objective{
			Partner: job.Partner(ent.GetOwner()),
			Class:   ent.GetClass(),
			Target:  ent.GetObjective().GetTarget().AsDuration(),
			Share:   ent.GetObjective().GetShare(),
		})
	}
	return out
}
