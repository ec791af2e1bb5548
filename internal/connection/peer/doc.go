// Package peer carries what entry instances tell each other: jsonrpc2 over TCP, one connection from
// each entry instance to each peer that it talks to.
//
// A connection begins with a hello that carries the shared token. Errors carry a verdict: a refused
// connection proves that nothing was sent, anything later may have had an effect.
package peer
