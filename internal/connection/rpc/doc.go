// Package rpc has what all jsonrpc2 connections between entry instances share: a bound on the size of
// messages, a deadline on each write, and counters.
package rpc
