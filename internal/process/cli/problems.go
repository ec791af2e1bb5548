package cli

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// problems collects every wrong setting, so that an operator mends them in one go.
type problems struct{ lines []string }

func (prb *problems) add(flag string, val any, allowed string) {
	if !strings.HasPrefix(flag, "--") {
		// Arguments have no variable.
		prb.lines = append(prb.lines, fmt.Sprintf("%s: %q: want %s", flag, fmt.Sprint(val), allowed))
		return
	}
	env := envPrefix + "_" + strings.ToUpper(strings.ReplaceAll(strings.TrimLeft(flag, "-"), "-", "_"))
	prb.lines = append(prb.lines, fmt.Sprintf("%s (%s): %q: want %s", flag, env, fmt.Sprint(val), allowed))
}

// url checks a base URL.
func (prb *problems) url(flag, val string) {
	host, ok := strings.CutPrefix(val, "http://")
	if !ok {
		host, ok = strings.CutPrefix(val, "https://")
	}
	if !ok || host == "" {
		prb.add(flag, val, "a URL that begins with http:// or https://")
	}
}

// address checks an address to listen on.
func (prb *problems) address(flag, val string) {
	host, _, err := net.SplitHostPort(val)
	if err != nil || net.ParseIP(host) == nil {
		prb.add(flag, val, "IP:PORT")
	}
}

// positive checks a length of time.
func (prb *problems) positive(flag string, val time.Duration) {
	if val <= 0 {
		prb.add(flag, val, "more than 0")
	}
}

// notNegative checks a length of time that may be none.
func (prb *problems) notNegative(flag string, val time.Duration) {
	if val < 0 {
		prb.add(flag, val, "0 or more")
	}
}

func (prb *problems) err() error {
	if len(prb.lines) == 0 {
		return nil
	}
	slices.Sort(prb.lines)
	return &usageError{cause: errors.Newf("wrong settings:\n  %s", strings.Join(prb.lines, "\n  "))}
}
