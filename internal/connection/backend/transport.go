package backend

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

const (
	connectTimeout = 2 * time.Second
	keepAlive      = 15 * time.Second
	// An idle connection is checked by an HTTP/2 ping this often, so that one that went silent is
	// replaced before the next task needs it. More often, the pings of a few hundred idle sessions
	// would take most of the 5 KB/s that control may use.
	pingAfter   = time.Minute
	pingTimeout = 5 * time.Second
	// A connection that takes no byte for this long is closed.
	writeTimeout = 5 * time.Second
)

// NewTransport returns a transport for one session: HTTP/2 in clear text, or over TLS if tls is not
// nil. The transport retries nothing: the only request that it carries has a body that can't be
// replayed, on a connection that no request used before.
func NewTransport(cfg *tls.Config) *http.Transport {
	dlr := &net.Dialer{Timeout: connectTimeout, KeepAlive: keepAlive}
	tpt := &http.Transport{
		DialContext:        dlr.DialContext,
		DisableCompression: true,
		Protocols:          new(http.Protocols),
		TLSClientConfig:    cfg,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:  pingAfter,
			PingTimeout:      pingTimeout,
			WriteByteTimeout: writeTimeout,
		},
	}
	if cfg != nil {
		tpt.Protocols.SetHTTP2(true)
	} else {
		tpt.Protocols.SetUnencryptedHTTP2(true)
	}
	return tpt
}
