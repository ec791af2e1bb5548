package serverlist

// Change is a record of the list that changed what was known of its server.
type Change struct {
	// Offset is the offset of the record in the list.
	Offset int64
	Key    string
	// Value is the content of the record, nil if the server was removed.
	Value []byte
}

// Digest has the changes among the records of the list from offset From up to, but without, offset To.
type Digest struct {
	// Reader is the name of the instance that read the list and wrote the digest.
	Reader   string
	From, To int64
	// Reread is set if the records up to To were gone and the changes come from a full read. It lacks what was changed and undone in between,
	// so that only an instance that knows nothing beyond From may take it in.
	Reread  bool
	Changes []Change
}

// maxRecords bounds the number of records that a digest covers; a reader is never that far behind.
const maxRecords = 1 << 20

// Problem describes what is wrong with a digest, or returns "".
func (dig *Digest) Problem() string {
	switch {
	case dig.Reader == "":
		return "it names no reader"
	case dig.From < 0 || dig.To < dig.From || dig.To-dig.From > maxRecords:
		return "its range of offsets is invalid or too long"
	}
	last := dig.From - 1
	for _, chg := range dig.Changes {
		if chg.Key == "" || chg.Offset <= last || chg.Offset >= dig.To {
			return "a change has no key, is out of order or is outside the range of offsets"
		}
		last = chg.Offset
	}
	return ""
}

// maxDigestBytes bounds the keys and values in one digest. Encoded, which makes values a third larger, it fits into a record of the store, of 256 KB.
const maxDigestBytes = 128 << 10

// split cuts a digest into consecutive ones with at most limit changes each, and of a bounded size.
func (dig *Digest) split(limit int) []Digest {
	var digs []Digest
	rest := *dig
	for {
		num := fitting(rest.Changes, limit)
		if num == len(rest.Changes) {
			return append(digs, rest)
		}
		cut := rest.Changes[num].Offset
		digs = append(digs, Digest{Reader: dig.Reader, From: rest.From, To: cut, Reread: dig.Reread, Changes: rest.Changes[:num]})
		rest.From, rest.Changes = cut, rest.Changes[num:]
	}
}

// fitting returns how many of the first changes fit into one digest, which has at most limit of them and at least one.
func fitting(chgs []Change, limit int) int {
	size := 0
	for num := range chgs {
		size += len(chgs[num].Key) + len(chgs[num].Value)
		if num >= limit || num > 0 && size > maxDigestBytes {
			return num
		}
	}
	return len(chgs)
}
