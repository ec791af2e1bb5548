package metrics

import (
	"encoding/binary"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// Ratios are recorded in thousandths up to 10,000 and times in units of 100 µs up to 1,000 s, both
// with two significant digits: a bucket is less than 1% wide.
const (
	ratioUnit    = 1000
	timeUnit     = 100 * time.Microsecond
	highestValue = 10_000_000
	digits       = 2

	maxBuckets     = 4096
	maxBucketCount = 1 << 40
)

var (
	errTruncated  = errors.New("histogram: cut short")
	errOutOfRange = errors.New("histogram: value or count out of range")
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highestValue, digits)
}

// record adds a value; one outside the range counts as the nearest that is inside.
func record(hst *hdrhistogram.Histogram, val int64) {
	// The value is in range, which is the only thing that RecordValue complains about.
	_ = hst.RecordValue(min(max(val, 1), highestValue))
}

// encodeHistogram writes pairs of varints: the distance of a bucket from the one before, and its
// count. Empty buckets are left out, so that a quiet minute takes a few bytes.
func encodeHistogram(hst *hdrhistogram.Histogram) []byte {
	if hst.TotalCount() == 0 {
		return nil
	}
	var out []byte
	last := int64(0)
	for _, bar := range hst.Distribution() {
		if bar.Count == 0 {
			continue
		}
		out = binary.AppendUvarint(out, uint64(bar.From-last))
		out = binary.AppendUvarint(out, uint64(bar.Count))
		last = bar.From
	}
	return out
}

// mergeEncoded adds what encodeHistogram wrote to a histogram.
func mergeEncoded(hst *hdrhistogram.Histogram, dat []byte) error {
	val := uint64(0)
	for num := 0; len(dat) > 0; num++ {
		step, len1 := binary.Uvarint(dat)
		if len1 <= 0 {
			return errTruncated
		}
		cnt, len2 := binary.Uvarint(dat[len1:])
		if len2 <= 0 {
			return errTruncated
		}
		dat = dat[len1+len2:]
		if step > highestValue || cnt > maxBucketCount || num >= maxBuckets {
			return errOutOfRange
		}
		if val += step; val > highestValue {
			return errOutOfRange
		}
		if err := hst.RecordValues(int64(val), int64(cnt)); err != nil {
			return errors.Mark(err, errOutOfRange)
		}
	}
	return nil
}
