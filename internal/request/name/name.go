package name

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

const (
	// MaxBytes is the length of the longest name that is kept as it is.
	MaxBytes = 128
	// prefixBytes is how much is kept of a longer name, for readers of logs.
	prefixBytes = 64
	digestMark  = "~sha256:"
)

// Compact returns a name of bounded length that is equal for equal names only: the name itself up to MaxBytes, else its begin and the SHA-256 of
// the whole, which is always longer than MaxBytes. Names are only compared with each other, and copies of them go with each order.
func Compact(nam string) string {
	if len(nam) <= MaxBytes {
		return nam
	}
	sum := sha256.Sum256([]byte(nam))
	return strings.ToValidUTF8(nam[:prefixBytes], "") + digestMark + hex.EncodeToString(sum[:])
}
