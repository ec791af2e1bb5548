package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusFailed = 2
)

// errNotShown says that a case could not be played as it was meant.
var errNotShown = errors.New("the case couldn't run")

// limit is how long a case may take.
const limit = 100 * time.Second

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "restart, late, frozen, memory or gone")
	record := flag.String("record", "record.txt", "file for the record")
	program := flag.String("program", "target/chestnutstackd", "the daemon")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	rec, err := newRecord(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	defer rec.close()
	end := func(reason string) {
		rec.note("%s", reason)
		rec.close()
		killAll()
		os.Exit(statusFailed)
	}
	time.AfterFunc(limit, func() { end("the case takes too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() { end((<-signals).String()) }()
	sys, err := newSystem(*program, rec)
	defer sys.end()
	if err == nil {
		err = sys.awaitServing()
	}
	if err == nil {
		err = play(sys, *name, *trouble)
	}
	if err != nil {
		rec.note("%v", err)
		return statusFailed
	}
	if *name == "memory" {
		return sys.judgeMemory()
	}
	if *name == "gone" {
		return sys.judgeGone()
	}
	return sys.judge()
}

func play(sys *system, name string, trouble bool) error {
	switch name {
	case "restart":
		return sys.playRestart(trouble)
	case "frozen":
		return sys.playFrozen(trouble)
	case "gone":
		return sys.playGone(trouble)
	case "memory":
		return sys.playMemory(trouble)
	case "late":
		return sys.playLate(trouble)
	}
	return fmt.Errorf("%w: no case %q", errNotShown, name)
}
