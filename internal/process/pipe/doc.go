// Package pipe joins HTTP clients and servers in one process by in-memory connections, so that
// they run in virtual time under testing/synctest with the real transport.
package pipe
