package daemon

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// Guards against log lines that stay in the buffer for longer than logFlushInterval, so that a killed process loses more than its last moments.
func TestLinesAreWrittenSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		chk := is.New(t)
		var out lockedBuffer
		dropped := 0
		lwr := newLineWriter(&out, func() { dropped++ })
		ctx, cancel := context.WithCancel(t.Context())
		grp := &errgroup.Group{}
		grp.Go(func() error { return lwr.run(ctx) })
		write := func(line string) {
			_, err := lwr.Write([]byte(line))
			chk.NoErr(err)
		}
		time.Sleep(time.Hour)
		write("one\n")
		time.Sleep(logFlushInterval / 2)
		write("two\n")
		chk.Equal(out.String(), "")
		time.Sleep(logFlushInterval)
		synctest.Wait()
		chk.Equal(out.String(), "one\ntwo\n")
		write("last\n")
		write(string(make([]byte, maxLogBuffer)))
		chk.Equal(dropped, 1)
		cancel()
		chk.NoErr(grp.Wait())
		chk.Equal(out.String(), "one\ntwo\nlast\n")
	})
}

// lockedBuffer is a buffer that may be read while another goroutine writes.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (lbf *lockedBuffer) Write(data []byte) (int, error) {
	lbf.mu.Lock()
	defer lbf.mu.Unlock()
	return lbf.buf.Write(data)
}

// String implements fmt.Stringer.
func (lbf *lockedBuffer) String() string {
	lbf.mu.Lock()
	defer lbf.mu.Unlock()
	return lbf.buf.String()
}
