package http2

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"chestnutstack/internal/connection/tcp"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
	dialTimeout       = 2 * time.Second
	// maxStreams bounds the calls in progress on one connection.
	maxStreams = 10_000
	// A connection that lost its state in the network looks open for good; the ping finds it.
	readIdleTimeout = 15 * time.Second
	pingTimeout     = 5 * time.Second
)

// NewServer returns a server for the handler; with a nil cfg it speaks cleartext.
func NewServer(hnd http.Handler, cfg *tls.Config) *http.Server {
	var pro http.Protocols
	pro.SetHTTP1(true)
	pro.SetHTTP2(true)
	pro.SetUnencryptedHTTP2(cfg == nil)
	return &http.Server{
		Handler:           hnd,
		TLSConfig:         cfg,
		Protocols:         &pro,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       tcp.NewContext,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams,
			SendPingTimeout:      readIdleTimeout,
			PingTimeout:          pingTimeout,
		},
	}
}

// Serve runs the server on the listener until it is shut down.
func Serve(srv *http.Server, lis net.Listener) error {
	var err error
	if srv.TLSConfig != nil {
		err = srv.ServeTLS(lis, "", "")
	} else {
		err = srv.Serve(lis)
	}
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

// Dialer opens connections; tests put a pipe in its place.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client that speaks HTTP/2 only; with a nil cfg it speaks cleartext, with a
// nil dial it uses TCP. It keeps one connection for each address.
func NewClient(cfg *tls.Config, dial Dialer) *http.Client {
	var pro http.Protocols
	pro.SetHTTP2(cfg != nil)
	pro.SetUnencryptedHTTP2(cfg == nil)
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &http.Client{Transport: &http.Transport{
		Protocols:       &pro,
		TLSClientConfig: cfg,
		DialContext:     dial,
		// No proxy from the environment: our processes talk by IP address.
		Proxy:           nil,
		IdleConnTimeout: idleTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: readIdleTimeout,
			PingTimeout:     pingTimeout,
		},
	}}
}

// URL returns the base address of a server that listens on a host and port.
func URL(address string, cfg *tls.Config) string {
	if cfg != nil {
		return "https://" + address
	}
	return "http://" + address
}
