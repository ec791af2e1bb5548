package dispatch_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that CI gives the same result in each run; -rapid.seed and
// -rapid.checks on the command line take precedence.
func TestMain(tst *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(tst.Run())
}
