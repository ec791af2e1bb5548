package member

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the properties, so that CI gives the same verdict each run; -rapid.seed
// and -rapid.checks on the command line go before it.
func TestMain(tst *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(tst.Run())
}
