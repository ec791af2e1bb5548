package entry

import (
	"strings"

	"github.com/cockroachdb/errors"

	"chestnutstack/internal/request/dispatch"
	"chestnutstack/internal/request/verdict"
)

// nameSeparator stands between id and incarnation in the name that job ids and leases carry.
const nameSeparator = "~"

// joinName returns the name of one life of an instance: an instance that was replaced does not have
// the jobs of the one before it.
func joinName(id dispatch.PeerID, incarnation string) string {
	return string(id) + nameSeparator + incarnation
}

func splitName(name string) (id dispatch.PeerID, incarnation string, ok bool) {
	idt, inc, ok := strings.Cut(name, nameSeparator)
	return dispatch.PeerID(idt), inc, ok
}

// asVerdict returns the verdict error inside err, or may-have-run: an error of unknown origin
// proves nothing.
func asVerdict(err error) *verdict.Error {
	var ver *verdict.Error
	if errors.As(err, &ver) {
		return ver
	}
	return verdict.New(verdict.MayHaveRun, "internal").WithCause(err)
}
