// Command chestnutstackd is an entry instance on the users' platform. It is a binary of its own, without
// the tools of command chestnutstack: a process that is restarted is missed until it has started.
package main

// Imported for linking alone: the platform loads a library into each process, which needs the system's
// C library.

import "C"

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"chestnutstack/internal/process/daemon"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := daemon.Main(ctx, os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "chestnutstackd:", err)
		return 1
	}
	return 0
}
