package peer

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/sourcegraph/jsonrpc2"

	"chestnutstack/internal/connection/rpc"
)

// FuzzReadMessage reads frames as a peer may send them and answers what can be read: whatever the
// bytes, the process must neither panic nor read a frame over the bound.
func FuzzReadMessage(f *testing.F) {
	seeds := map[string]string{
		methodHeartbeat:      `{"id":"a","inc":"1","dig":"3","facts":[{"id":"b","k":1,"inc":"1","s":4}]}`,
		methodBorrow:         `{"n":3}`,
		methodBorrowUnits:    `{"u":[{"c":"riga/export","k":3,"t":"red","n":2}]}`,
		methodHandOver:       `{"peers":["a"],"hold":10,"u":[{"c":"x","k":1,"n":1}]}`,
		methodJobGet:         `{"job":"a/1","forwarded":true}`,
		methodCatalogueSince: `{"offset":1}`,
	}
	for name, params := range seeds {
		raw := []byte(`{"jsonrpc":"2.0","id":1,"method":"` + name + `","params":` + params + `}`)
		f.Add(append([]byte{byte(len(raw)&0x7f | 0x80), byte(len(raw) >> 7)}, raw...))
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	const bound = 1 << 10
	f.Fuzz(func(t *testing.T, data []byte) {
		cdc := rpc.BoundedCodec{Max: bound}
		rdr := bufio.NewReader(bytes.NewReader(data))
		ses := &session{srv: NewServer(testConfig("b"), &recorder{}), from: Identity{ID: "a"}}
		for {
			if length, err := rpc.PeekLength(rdr); err == nil && length > bound {
				if cdc.ReadObject(rdr, &jsonrpc2.Request{}) == nil {
					t.Fatalf("read a frame of %d bytes", length)
				}
				return
			}
			var req jsonrpc2.Request
			if cdc.ReadObject(rdr, &req) != nil {
				return
			}
			if req.Method == methodJobAwait {
				continue // It waits for the end of a job that nobody ends here.
			}
			_, _ = ses.handle(t.Context(), &req) // An error is as good as an answer here.
		}
	})
}
