// Package dev runs the whole system in one process on loopback: platform stand-in, entry instances
// and backend servers, each with its own sockets, so that a newcomer sees the whole path with one
// command and tests have a small system to talk to.
package dev
