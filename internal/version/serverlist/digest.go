package serverlist

// Change is a record of the list that changed what was known of its server.
type Change struct {
	// Offset is the place of the record in the list.
	Offset int64
	Key    string
	// Value is the record; nil if the server is gone.
	Value []byte
}

// Digest has the changes among the records of the list from an offset on and before another one.
type Digest struct {
	// Reader is the instance that read the list.
	Reader       string
	From, To int64
	Changes  []Change
}

// mostRecords bounds the part of the list that a digest covers: an instance that reads for all falls behind by less.
const mostRecords = 1 << 20

// Problem says what is wrong with a digest, or nothing.
func (dig *Digest) Problem() string {
	switch {
	case dig.Reader == "":
		return "it names no reader"
	case dig.From < 0 || dig.To < dig.From || dig.To-dig.From > mostRecords:
		return "it covers no part of the list"
	}
	last := dig.From - 1
	for _, chg := range dig.Changes {
		if chg.Key == "" || chg.Offset <= last || chg.Offset >= dig.To {
			return "a change is out of order or not in its part of the list"
		}
		last = chg.Offset
	}
	return ""
}

// split cuts a digest into several of which each has a bounded number of changes.
func (dig *Digest) split(most int) []Digest {
	var digs []Digest
	rest := *dig
	for len(rest.Changes) > most {
		cut := rest.Changes[most].Offset
		digs = append(digs, Digest{Reader: dig.Reader, From: rest.From, To: cut, Changes: rest.Changes[:most]})
		rest.From, rest.Changes = cut, rest.Changes[most:]
	}
	return append(digs, rest)
}
