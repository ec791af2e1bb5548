// Command cases plays cases of the review: real daemons on loopback, with stand-ins for the platform's store, the backend servers and the
// clients.
package main
