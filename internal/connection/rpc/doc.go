// Package rpc holds what all jsonrpc2 connections between instances share: a bound on the size of messages, a deadline for each
// write, and counters.
package rpc
