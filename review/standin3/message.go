package main

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"

	"google.golang.org/protobuf/proto"

	"chestnutstack/internal/connection/meshpb"
)

// pumpMessages passes on the messages of a daemon to another one, without the address of the sender: the receiver would call it there, past the link.
func (lnk *link) pumpMessages(src, dst net.Conn) {
	defer func() { _, _ = src.Close(), dst.Close() }() // They may be closed already.
	rdr := bufio.NewReader(src)
	for {
		size, err := binary.ReadUvarint(rdr)
		if err != nil {
			return
		}
		msg := make([]byte, size)
		if _, err := io.ReadFull(rdr, msg); err != nil {
			return
		}
		if lnk.isSilent() {
			continue
		}
		msg = withoutAddress(msg)
		if _, err := dst.Write(append(binary.AppendUvarint(nil, uint64(len(msg))), msg...)); err != nil {
			return
		}
	}
}

// withoutAddress returns a message without the address of its sender, or as it is if it can't be read.
func withoutAddress(msg []byte) []byte {
	fields, data, dlv := map[string]json.RawMessage{}, []byte(nil), &meshpb.Delivery{}
	if json.Unmarshal(msg, &fields) != nil || json.Unmarshal(fields["params"], &data) != nil || proto.Unmarshal(data, dlv) != nil {
		return msg
	}
	dlv.Address = ""
	data, err := proto.Marshal(dlv)
	if err != nil {
		return msg
	}
	fields["params"], _ = json.Marshal(data) // Bytes.
	out, err := json.Marshal(fields)
	if err != nil {
		return msg
	}
	return out
}
