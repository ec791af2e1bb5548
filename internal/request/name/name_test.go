package name

import (
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/matryer/is"
)

// Guards against long names that are kept whole, or that are taken for others once they are shortened.
func TestCompact(t *testing.T) {
	long := strings.Repeat("r", 240_000)
	cases := map[string]struct{ name, other string }{
		"empty":                    {"", "r"},
		"short":                    {"r1-3", "r1-4"},
		"as long as one is kept":   {long[:MaxBytes], long[:MaxBytes-1]},
		"longer by one":            {long[:MaxBytes+1], long[:MaxBytes]},
		"other end":                {long + "a", long + "b"},
		"other length":             {long, long[:len(long)-1]},
		"what another becomes":     {long, Compact(long)},
		"a character is cut":       {strings.Repeat("a", prefixBytes-1) + strings.Repeat("š", 300), strings.Repeat("a", prefixBytes-1) + strings.Repeat("š", 301)},
		"characters of four bytes": {"a" + strings.Repeat("𐀀", 300), "a" + strings.Repeat("𐀀", 299)},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			got := Compact(cse.name)
			chk.Equal(got == cse.name, len(cse.name) <= MaxBytes)
			chk.Equal(len(got) > MaxBytes, len(cse.name) > MaxBytes)
			chk.True(len(got) <= prefixBytes+len(digestMark)+64)
			chk.True(utf8.ValidString(got))
			chk.Equal(got, Compact(strings.Clone(cse.name)))
			chk.True(got != Compact(cse.other))
		})
	}
}
