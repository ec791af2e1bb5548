package main

import (
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"
)

func main() { os.Exit(run(os.Args[1:])) }

var twoServices = []queue{
	{name: "r-deck", host: "nony24.example", prefix: "/lohu930/", service: "deckforge"},
	{name: "r-desk", host: "ficu95.example", prefix: "/pufi791/", service: "dispatch-desk"},
}

// run plays a case and returns 1 if a rule was broken, 0 if none was, and 2 if the case couldn't run.
func run(args []string) int {
	if len(args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD [SEED SECONDS KIND,...]")
		return 2
	}
	subnet := fmt.Sprintf("127.%d.%d", 16+os.Getpid()>>8%200, os.Getpid()%250)
	wld, err := newWorld(args[1], subnet, twoServices)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		wld.end()
		os.Exit(2)
	}()
	err = play(wld, args)
	wld.end()
	broken := wld.jdg.finish()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, txt := range broken {
		fmt.Fprintln(os.Stderr, txt)
	}
	if len(broken) > 0 {
		return 1
	}
	return 0
}

func play(wld *world, args []string) error {
	switch args[0] {
	case "cancel-behind-freeze":
		return playCancelBehindFreeze(wld)
	case "cancel-in-cut":
		return playCancelInCut(wld)
	case "cancel-after-restart":
		return playCancelAfterRestart(wld)
	case "late-repeat":
		return playLateRepeat(wld)
	case "dropped-queue":
		return playCancelOnDroppedQueue(wld)
	case "random":
		if len(args) < 5 {
			return fmt.Errorf("want a seed, seconds and kinds of trouble")
		}
		seed, _ := strconv.ParseUint(args[2], 10, 64)
		secs, _ := strconv.Atoi(args[3])
		return playRandom(wld, seed, time.Duration(secs)*time.Second, strings.Split(args[4], ","))
	default:
		return fmt.Errorf("no case %q", args[0])
	}
}
