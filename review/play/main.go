package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// The exit codes of a case's script.
const (
	held = iota
	broken
	notRun
)

func main() { os.Exit(play()) }

// play carries out a case and returns the exit code.
func play() int {
	name := flag.String("case", "", "the case: delete or recover")
	program := flag.String("daemon", "", "the daemon's program, by its full path")
	path := flag.String("record", "record.txt", "the file that notes what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether the disruption comes")
	flag.Parse()
	cases := map[string]func(sys *system, trouble bool) (verdict string, ok bool){"delete": playDelete, "recover": playRecover, "frozen": playFrozen}
	carryOut := cases[*name]
	rec, err := newRecord(*path)
	if err != nil || carryOut == nil {
		fmt.Fprintln(os.Stderr, "play: unknown case, or no record:", *name, err)
		return notRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "play:", err)
		return notRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	sys, err := newSystem(rec, *program, dir, workOf)
	if sys != nil {
		defer sys.end()
		endOnSignal(sys)
	}
	if err != nil {
		rec.notef("the case could not run: %v", err)
		return notRun
	}
	verdict, ok := carryOut(sys, *trouble)
	rec.notef("%s", verdict)
	fmt.Fprintln(os.Stderr, verdict)
	if ok {
		return held
	}
	return broken
}

// endOnSignal ends the play's processes if the play itself is told to end.
func endOnSignal(sys *system) {
	sgs := make(chan os.Signal, 1)
	signal.Notify(sgs, syscall.SIGTERM, syscall.SIGINT)
	sys.rec.group.Go(func() error {
		<-sgs
		sys.end()
		os.Exit(notRun)
		return nil
	})
}

// workOf returns how long a task takes, which its Spec says.
func workOf(spec string) time.Duration {
	took, err := time.ParseDuration(strings.TrimSpace(spec))
	if err != nil {
		return 100 * time.Millisecond
	}
	return took
}
