package catalogue

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"chestnutstack/internal/version/recordpb"
)

// ChunkSize is how much of a snapshot one record holds, in bytes.
const ChunkSize = 256 << 10

// maxChunks bounds what a reader keeps of one unfinished snapshot (64 MiB).
const maxChunks = 256

// keptSnapshots bounds the unfinished snapshots that a reader keeps.
const keptSnapshots = 2

// Chunk is a piece of an encoded snapshot.
type Chunk struct {
	// Snapshot names the snapshot that the chunk belongs to.
	Snapshot string
	Index    uint32
	Count    uint32
	// Offset is the one that the snapshot holds the state of.
	Offset uint64
	Data   []byte
}

// EncodeSnapshot returns the whole state as bytes; equal states give equal bytes.
func (sta *State) EncodeSnapshot() ([]byte, error) {
	msg := &recordpb.Snapshot{Offset: sta.offset}
	for _, nam := range slices.Sorted(maps.Keys(sta.entries)) {
		msg.Entries = append(msg.Entries, EntryToProto(sta.entries[nam]))
	}
	for _, nam := range slices.Sorted(maps.Keys(sta.tokens)) {
		msg.Tokens = append(msg.Tokens, tokenToProto(sta.tokens[nam]))
	}
	dat, err := deterministic.Marshal(msg)
	return dat, errors.Wrap(err, "encode snapshot")
}

// DecodeSnapshot reads what EncodeSnapshot wrote.
func DecodeSnapshot(data []byte) (*State, error) {
	var msg recordpb.Snapshot
	if err := proto.Unmarshal(data, &msg); err != nil {
		return nil, errors.Wrap(err, "decode snapshot")
	}
	sta := New()
	sta.offset = msg.GetOffset()
	for _, ems := range msg.GetEntries() {
		ent, err := EntryFromProto(ems)
		if err != nil {
			return nil, errors.Wrapf(err, "snapshot entry %q", ems.GetName())
		}
		sta.entries[ent.Name()] = ent
	}
	for _, tms := range msg.GetTokens() {
		tok, err := tokenFromProto(tms)
		if err != nil {
			return nil, errors.Wrapf(err, "snapshot token %q", tms.GetName())
		}
		sta.tokens[tok.Name] = tok
	}
	return sta, nil
}

// Chunks cuts an encoded snapshot into pieces that fit into records.
func Chunks(name string, offset uint64, data []byte) []Chunk {
	pcs := slices.Collect(slices.Chunk(data, ChunkSize))
	if len(pcs) == 0 {
		pcs = [][]byte{nil}
	}
	chs := make([]Chunk, len(pcs))
	for idx, pce := range pcs {
		chs[idx] = Chunk{Snapshot: name, Index: uint32(idx), Count: uint32(len(pcs)), Offset: offset, Data: pce}
	}
	return chs
}

// Assembler puts the chunks of snapshots together.
//
// A writer that dies between two chunks leaves a snapshot that never gets whole: it is dropped once
// newer ones began, and the next writer starts one under another name.
type Assembler struct {
	open []*assembly
}

type assembly struct {
	name   string
	pieces [][]byte
	have   int
}

// Add takes a chunk in and returns the bytes of its snapshot once that is whole. Chunks that come
// twice or contradict earlier ones change nothing.
func (asm *Assembler) Add(chk Chunk) ([]byte, bool) {
	if chk.Count == 0 || chk.Count > maxChunks || chk.Index >= chk.Count {
		return nil, false
	}
	cur := asm.find(chk)
	if int(chk.Count) != len(cur.pieces) || cur.pieces[chk.Index] != nil {
		return nil, false
	}
	cur.pieces[chk.Index] = append(make([]byte, 0, len(chk.Data)), chk.Data...)
	cur.have++
	if cur.have < len(cur.pieces) {
		return nil, false
	}
	asm.open = slices.DeleteFunc(asm.open, func(oth *assembly) bool { return oth == cur })
	return slices.Concat(cur.pieces...), true
}

func (asm *Assembler) find(chk Chunk) *assembly {
	for _, cur := range asm.open {
		if cur.name == chk.Snapshot {
			return cur
		}
	}
	cur := &assembly{name: chk.Snapshot, pieces: make([][]byte, chk.Count)}
	asm.open = append(asm.open, cur)
	if len(asm.open) > keptSnapshots {
		asm.open = asm.open[1:]
	}
	return cur
}

func chunkToProto(chk Chunk) *recordpb.SnapshotChunk {
	return &recordpb.SnapshotChunk{
		Snapshot: chk.Snapshot, Index: chk.Index, Count: chk.Count, Offset: chk.Offset, Data: chk.Data,
	}
}

func chunkFromProto(msg *recordpb.SnapshotChunk) Chunk {
	return Chunk{
		Snapshot: msg.GetSnapshot(), Index: msg.GetIndex(), Count: msg.GetCount(),
		Offset: msg.GetOffset(), Data: msg.GetData(),
	}
}
