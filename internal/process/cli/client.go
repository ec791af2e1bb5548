package cli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"chestnutstack/internal/connection/caller"
	"chestnutstack/internal/connection/http2"
	"chestnutstack/internal/request/callerpb"
)

// clientFlags are the settings of every command that talks to an entry instance.
type clientFlags struct {
	Server  string        `help:"Base URL of an entry instance or the balancer." default:"http://127.0.0.1:7400"`
	Token   string        `help:"Bearer token of the partner." env:"CHESTNUTSTACK_TOKEN"`
	TLSCA   string        `name:"tls-ca" help:"File with the certificate that signed the server's." type:"existingfile"`
	Timeout time.Duration `help:"How long the whole command may take." default:"1m"`
	JSON    bool          `name:"json" help:"Print JSON."`
}

func (flg *clientFlags) check(prb *problems) {
	prb.url("--server", flg.Server)
	if flg.Token == "" {
		prb.add("--token", flg.Token, "the bearer token of a partner")
	}
	prb.positive("--timeout", flg.Timeout)
}

func (flg *clientFlags) httpClient() (*http.Client, error) {
	var cfg *tls.Config
	if strings.HasPrefix(flg.Server, "https://") {
		cfg = &tls.Config{MinVersion: tls.VersionTLS13}
		if flg.TLSCA != "" {
			pool, err := readCertPool(flg.TLSCA)
			if err != nil {
				return nil, err
			}
			cfg.RootCAs = pool
		}
	}
	return http2.NewClient(cfg, nil), nil
}

func readCertPool(path string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "reading certificate")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, &usageError{cause: errors.Newf("%s: no certificate in it", path)}
	}
	return pool, nil
}

func (flg *clientFlags) jobs() (callerpb.JobServiceClient, error) {
	cli, err := flg.httpClient()
	if err != nil {
		return nil, err
	}
	return callerpb.NewJobServiceClient(cli, flg.Server, flg.options()...), nil
}

func (flg *clientFlags) catalogue() (callerpb.CatalogueServiceClient, error) {
	cli, err := flg.httpClient()
	if err != nil {
		return nil, err
	}
	return callerpb.NewCatalogueServiceClient(cli, flg.Server, flg.options()...), nil
}

func (flg *clientFlags) options() []connect.ClientOption {
	return []connect.ClientOption{
		connect.WithInterceptors(retryReads(), caller.Bearer(flg.Token)),
		connect.WithReadMaxBytes(maxAnswerBytes),
	}
}

// maxAnswerBytes bounds what a server can make the command line hold.
const maxAnswerBytes = 128 << 20

func (flg *clientFlags) context(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, flg.Timeout)
}
