package rpc

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// The length before each message is a varint of up to five bytes with seven bits each, the low ones first; continuationBit is set in
// all bytes but the last.
const (
	continuationBit = 0x80
	maxLengthBytes  = 5
	lengthBits      = 7
)

// ErrTooLarge is returned for a message that exceeds the bound on its size, to be written or read.
var ErrTooLarge = errors.New("peer message too large")

// NewConn returns a jsonrpc2 connection over con whose messages have at most maxMessage bytes each.
func NewConn(ctx context.Context, con net.Conn, maxMessage int, hdl jsonrpc2.Handler) *jsonrpc2.Conn {
	stm := jsonrpc2.NewBufferedStream(con, BoundedCodec{Max: maxMessage})
	return jsonrpc2.NewConn(ctx, stm, hdl, jsonrpc2.SetLogger(silentLogger{}))
}

// silentLogger discards the log lines of jsonrpc2: every failure is returned to a caller as an error.
type silentLogger struct{}

// Printf implements jsonrpc2.Logger.
func (silentLogger) Printf(string, ...any) {}

// RefuseAll rejects requests that arrive at the calling end of a connection, which handles none.
type RefuseAll struct{}

// Handle implements jsonrpc2.Handler.
func (RefuseAll) Handle(ctx context.Context, con *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif {
		return
	}
	rpc := &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this end of the connection handles no requests"}
	_ = con.ReplyWithError(ctx, req.ID, rpc) // An error means that the connection is closed, so the peer can't be answered.
}

// BoundedCodec is the varint framing of jsonrpc2.VarintObjectCodec with a bound on the size of a message. jsonrpc2 itself reads
// whatever length a frame announces, so a broken peer could make this process allocate gigabytes.
type BoundedCodec struct {
	// Max is the largest size of a message in bytes.
	Max int
}

// WriteObject implements jsonrpc2.ObjectCodec. It calls MarshalJSON directly: json.Marshal would check and copy the result once
// more.
func (cdc BoundedCodec) WriteObject(stream io.Writer, obj any) error {
	msh, ok := obj.(json.Marshaler)
	if !ok {
		return errors.Newf("can't encode message of type %T", obj)
	}
	data, err := msh.MarshalJSON()
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	if len(data) > cdc.Max {
		return errors.Wrapf(ErrTooLarge, "%d bytes to write", len(data))
	}
	frame := binary.AppendUvarint(make([]byte, 0, maxLengthBytes+len(data)), uint64(len(data)))
	_, err = stream.Write(append(frame, data...))
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec. It calls UnmarshalJSON directly, which saves one pass over the message.
func (cdc BoundedCodec) ReadObject(stream *bufio.Reader, obj any) error {
	length, err := PeekLength(stream)
	if err != nil {
		return err
	}
	if length > cdc.Max {
		return errors.Wrapf(ErrTooLarge, "%d bytes announced", length)
	}
	uns, ok := obj.(json.Unmarshaler)
	if !ok {
		return errors.Newf("can't decode message of type %T", obj)
	}
	if _, err := binary.ReadUvarint(stream); err != nil {
		return err
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(stream, data); err != nil {
		return err
	}
	return uns.UnmarshalJSON(data)
}

// PeekLength returns the length in bytes of the next message, as the varint before it announces, and consumes nothing. It asks for one
// more byte at a time: it would block for a fixed number if the peer sends only a short message for a long while.
func PeekLength(stream *bufio.Reader) (int, error) {
	length := 0
	for cnt := 1; cnt <= maxLengthBytes; cnt++ {
		head, err := stream.Peek(cnt)
		if err != nil {
			return 0, err
		}
		last := head[cnt-1]
		length |= int(last&^continuationBit) << (lengthBits * (cnt - 1))
		if last < continuationBit {
			return length, nil
		}
	}
	return 0, errors.Wrap(ErrTooLarge, "frame length of more than five bytes")
}
