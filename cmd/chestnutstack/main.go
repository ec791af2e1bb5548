// Command chestnutstack dispatches sub-second tasks of two partners over a shared pool of workers.
package main

import (
	"os"

	"chestnutstack/internal/process/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
