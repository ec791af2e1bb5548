package cli

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/oklog/ulid/v2"
	"github.com/rs/zerolog"

	"chestnutstack/internal/connection/http2"
	"chestnutstack/internal/process/entry"
	"chestnutstack/internal/request/dispatch"
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/version/catalogue"
	"chestnutstack/internal/version/platform"
	"chestnutstack/internal/version/token"
)

// platformTimeout bounds one call to the platform, besides what a read waits.
const platformTimeout = 5 * time.Second

type entryCommand struct {
	ID            string        `name:"id" help:"Name of this instance on the platform's list." default:"entry-1"`
	FailureDomain string        `help:"Failure domain of this instance." default:"domain-1"`
	Listen        string        `help:"Address for callers and operators." default:"127.0.0.1:7400"`
	PeerListen    string        `help:"Address for other entry instances." default:"127.0.0.1:7401"`
	Platform      string        `help:"Base URL of the platform." default:"http://127.0.0.1:7500"`
	Announce      bool          `help:"Put this instance on the list of a platform stand-in."`
	Tokens        string        `help:"File of tokens that are known besides those of the catalogue." type:"existingfile"`
	SeedPeers     []string      `help:"Peer addresses of other entry instances, to start while the platform is out of reach."`
	PeerToken     string        `help:"Token that all entry instances share." default:"chestnutstack"`
	TLSCert       string        `name:"tls-cert" help:"Certificate for callers and peers." type:"existingfile"`
	TLSKey        string        `name:"tls-key" help:"Key of the certificate." type:"existingfile"`
	TLSCA         string        `name:"tls-ca" help:"Certificate that signed those of peers and backend servers." type:"existingfile"`
	Notice        time.Duration `help:"How long jobs are still taken at a planned stop, for the balancer to notice." default:"2s"`
	DrainTimeout  time.Duration `help:"How long jobs in progress may take at a planned stop." default:"2m"`
	LogLevel      string        `help:"debug, info, warn or error." default:"info"`
}

// Help is shown below the usage.
func (*entryCommand) Help() string {
	return "Example:\n  chestnutstack entry --id entry-1 --platform http://127.0.0.1:7500 --tokens tokens.yaml"
}

// defaultPeerToken serves a newcomer who tries the processes on loopback.
const defaultPeerToken = "chestnutstack"

func onLoopback(address string) bool {
	hst, _, err := net.SplitHostPort(address)
	adr := net.ParseIP(hst)
	return err != nil || adr != nil && adr.IsLoopback()
}

func (cmd *entryCommand) check() (zerolog.Level, error) {
	var prb problems
	for flag, val := range map[string]string{"--id": cmd.ID, "--failure-domain": cmd.FailureDomain, "--peer-token": cmd.PeerToken} {
		if val == "" {
			prb.add(flag, val, "a value that is not empty")
		}
	}
	for flag, val := range map[string]string{"--listen": cmd.Listen, "--peer-listen": cmd.PeerListen} {
		prb.address(flag, val)
	}
	if cmd.PeerToken == defaultPeerToken && !onLoopback(cmd.PeerListen) {
		// Everybody knows the default: a stranger could take slots and end jobs with it.
		prb.add("--peer-token", cmd.PeerToken, "a token of your own, as --peer-listen is not on loopback")
	}
	prb.url("--platform", cmd.Platform)
	if cmd.TLSCert != "" && cmd.TLSKey == "" {
		prb.add("--tls-key", cmd.TLSKey, "a file, as --tls-cert is given")
	}
	if cmd.TLSCert == "" && cmd.TLSKey != "" {
		prb.add("--tls-cert", cmd.TLSCert, "a file, as --tls-key is given")
	}
	if cmd.TLSCert == "" && cmd.TLSCA != "" {
		prb.add("--tls-cert", cmd.TLSCert, "a file, as --tls-ca is given")
	}
	prb.notNegative("--notice", cmd.Notice)
	prb.positive("--drain-timeout", cmd.DrainTimeout)
	lvl, err := zerolog.ParseLevel(cmd.LogLevel)
	if err != nil || cmd.LogLevel == "" {
		prb.add("--log-level", cmd.LogLevel, "debug, info, warn or error")
	}
	return lvl, prb.err()
}

// Run implements the command.
func (cmd *entryCommand) Run(ctx context.Context, str *streams) error {
	lvl, err := cmd.check()
	if err != nil {
		return err
	}
	log := zerolog.New(str.err).Level(lvl).With().Timestamp().Logger()
	toks, err := readTokens(cmd.Tokens)
	if err != nil {
		return err
	}
	srvTLS, cliTLS, err := cmd.tls()
	if err != nil {
		return err
	}
	cfg := entry.Config{
		ID:            cmd.ID,
		Incarnation:   ulid.Make().String(),
		FailureDomain: cmd.FailureDomain,
		CallerTLS:     srvTLS,
		BackendTLS:    cliTLS,
		PeerTLS:       peerTLS(srvTLS, cliTLS),
		Tokens:        toks,
		SeedPeers:     cmd.SeedPeers,
		PeerToken:     cmd.PeerToken,
		Notice:        cmd.Notice,
		DrainTimeout:  cmd.DrainTimeout,
		Seed:          rand.Uint64(),
		Dispatch:      dispatch.DefaultConfig(),
	}
	if cfg.Callers, err = listen(cmd.Listen); err != nil {
		return err
	}
	if cfg.Peers, err = listen(cmd.PeerListen); err != nil {
		return err
	}
	plt := platform.New(http2.NewClient(nil, nil), cmd.Platform, platformTimeout)
	if cmd.Announce {
		if err := announce(ctx, cmd.Platform, entry.Listed(cfg)); err != nil {
			return err
		}
	}
	fmt.Fprintf(str.out, "entry instance %s: --server %s\n", cmd.ID, http2.URL(cfg.Callers.Addr().String(), srvTLS))
	return entry.New(cfg, plt, log).Run(ctx)
}

// tls returns the settings of the server's and the client's side, nil without a certificate.
func (cmd *entryCommand) tls() (srv, cli *tls.Config, err error) {
	if cmd.TLSCert == "" {
		return nil, nil, nil
	}
	crt, err := tls.LoadX509KeyPair(cmd.TLSCert, cmd.TLSKey)
	if err != nil {
		return nil, nil, &usageError{cause: errors.Wrapf(err, "--tls-cert %s, --tls-key %s", cmd.TLSCert, cmd.TLSKey)}
	}
	srv = &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{crt}}
	cli = &tls.Config{MinVersion: tls.VersionTLS13}
	if cmd.TLSCA != "" {
		if cli.RootCAs, err = readCertPool(cmd.TLSCA); err != nil {
			return nil, nil, err
		}
	}
	return srv, cli, nil
}

// peerTLS serves both ends of the connections between entry instances.
func peerTLS(srv, cli *tls.Config) *tls.Config {
	if srv == nil {
		return nil
	}
	cfg := srv.Clone()
	cfg.RootCAs = cli.RootCAs
	return cfg
}

// tokenFile is the form of the file that --tokens names. It has the tokens themselves, as it is
// what the first operators start with; the catalogue keeps hashes only.
type tokenFile struct {
	Tokens []tokenLine `yaml:"tokens"`
}

type tokenLine struct {
	Role  string `yaml:"role"`
	Token string `yaml:"token"`
}

func readTokens(path string) ([]catalogue.Token, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "reading tokens")
	}
	var fil tokenFile
	if err := yaml.UnmarshalWithOptions(data, &fil, yaml.Strict()); err != nil {
		return nil, &usageError{cause: errors.Wrapf(err, "%s", path)}
	}
	var prb problems
	var toks []catalogue.Token
	for idx, lin := range fil.Tokens {
		name, _, _ := strings.Cut(lin.Token, ".")
		par, _, _ := strings.Cut(name, "/")
		tok := catalogue.Token{
			Name:    name,
			Partner: job.Partner(par),
			Role:    catalogue.Role(lin.Role),
			Hash:    token.Hash(lin.Token),
		}
		for _, fnd := range catalogue.ValidateToken(tok) {
			// The token itself is a secret and stays out of the message.
			prb.add(fmt.Sprintf("--tokens[%d]", idx), name, fmt.Sprint(fnd))
		}
		toks = append(toks, tok)
	}
	return toks, prb.err()
}
