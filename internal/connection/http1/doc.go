// Package http1 serves HTTP/1.1 to clients that the system doesn't control: it bounds their connections, what is held of their requests in memory,
// and the time that they take to send them. A Table decides which connections are closed; a Server carries that out around net/http.
package http1
