package platformstandin

import "time"

// firstOffset is the offset of the first record of every stream, so that 0 can mean "none".
const firstOffset = 1

// record is one appended record with the time that its retention counts from.
type record struct {
	data     []byte
	appended time.Time
}

// retention bounds what a stream keeps.
type retention struct {
	records int
	bytes   int
	age     time.Duration
}

// stream is an append-only sequence of records. Offsets grow by one and are never used again,
// also when every record was forgotten.
type stream struct {
	keep     retention
	earliest uint64
	records  []record
	bytes    int
	// changed is closed and replaced when records are added or forgotten.
	changed chan struct{}
}

func newStream(keep retention) *stream {
	return &stream{keep: keep, earliest: firstOffset, changed: make(chan struct{})}
}

func (str *stream) next() uint64 { return str.earliest + uint64(len(str.records)) }

// append adds all the records and returns the offset of the first.
func (str *stream) append(now time.Time, records [][]byte) uint64 {
	first := str.next()
	for _, dat := range records {
		str.records = append(str.records, record{data: dat, appended: now})
		str.bytes += len(dat)
	}
	str.expire(now)
	str.wake()
	return first
}

// expire forgets what retention no longer covers. The newest record stays within the bounds on
// count and bytes, but not within the one on age.
func (str *stream) expire(now time.Time) {
	cut := 0
	byt := str.bytes
	for cut < len(str.records) {
		rec := str.records[cut]
		left := len(str.records) - cut
		crowded := left > 1 && (left > str.keep.records || byt > str.keep.bytes)
		if !crowded && now.Sub(rec.appended) <= str.keep.age {
			break
		}
		byt -= len(rec.data)
		cut++
	}
	str.drop(cut)
}

// forgetBefore forgets the records before an offset; offsets that are still to come are not
// skipped.
func (str *stream) forgetBefore(offset uint64) {
	if offset <= str.earliest {
		return
	}
	str.drop(int(min(offset-str.earliest, uint64(len(str.records)))))
}

func (str *stream) drop(count int) {
	if count == 0 {
		return
	}
	for idx := range count {
		str.bytes -= len(str.records[idx].data)
		// The array behind the slice lives on until the next growth; the data must not.
		str.records[idx].data = nil
	}
	str.records = str.records[count:]
	str.earliest += uint64(count)
	str.wake()
}

func (str *stream) wake() {
	close(str.changed)
	str.changed = make(chan struct{})
}

// read returns the records from an offset on, within the bounds on count and bytes, and the
// offset of the first.
func (str *stream) read(from uint64, limit int) (uint64, [][]byte) {
	from = max(from, str.earliest)
	if from >= str.next() {
		return from, nil
	}
	var out [][]byte
	byt := 0
	for _, rec := range str.records[from-str.earliest:] {
		byt += len(rec.data)
		if len(out) == limit || len(out) > 0 && byt > maxReadBytes {
			break
		}
		out = append(out, rec.data)
	}
	return from, out
}
