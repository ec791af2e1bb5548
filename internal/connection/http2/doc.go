// Package http2 makes the HTTP servers and clients of all processes: HTTP/2 in cleartext or over
// TLS by setting, with every time-out and size bounded.
package http2
