package metrics

import (
	"context"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// Client makes HTTP requests.
type Client interface {
	Do(req *http.Request) (*http.Response, error)
}

// Fetch reads the variables and the history of the entry instance at a base URL, as far as the
// bearer token allows; it may be empty.
func Fetch(ctx context.Context, cli Client, baseURL, token string) (*Snapshot, error) {
	url := strings.TrimSuffix(baseURL, "/") + Path + "?" + HistoryQuery
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	rsp, err := cli.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	// The body was read to its end or is of no use any more.
	defer func() { _ = rsp.Body.Close() }()
	if rsp.StatusCode != http.StatusOK {
		return nil, errors.Newf("metrics: %s answers %s", url, rsp.Status)
	}
	return Decode(rsp.Body)
}
