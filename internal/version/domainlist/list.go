package domainlist

import (
	"maps"
	"slices"
)

// Unread is the end of a View whose instance has read nothing of the log.
const Unread int64 = -1

// MaxUnknownDomains bounds the closed domains that the instance's settings do not name, and MaxNameLength the length of a name.
const (
	MaxUnknownDomains = 100
	MaxNameLength    = 64
)

// Record is what the log says of a failure domain at an offset.
type Record struct {
	Offset int64
	Domain string
	Closed bool
}

// View is what an instance knows of the closed failure domains.
type View struct {
	// End is the offset before which the instance knows the whole log, or Unread.
	End int64
	// Closed has the closed domains in the order of their names.
	Closed []string
}

// List is an instance's knowledge of the closed failure domains. It is not safe for concurrent use.
type List struct {
	end     int64
	closed  map[string]bool
	domains map[string]bool
	refused int64
}

// New returns a list that has read nothing; domains are the failure domains that the instance's settings name.
func New(domains []string) *List {
	lst := &List{end: Unread, closed: map[string]bool{}, domains: make(map[string]bool, len(domains))}
	for _, dom := range domains {
		lst.domains[dom] = true
	}
	return lst
}

// Initialized reports whether the list has been read, here or by a peer.
func (lst *List) Initialized() bool { return lst.end != Unread }

// Closed reports whether a failure domain is closed to new work.
func (lst *List) Closed(domain string) bool { return lst.closed[domain] }

// RefusedClosings returns how many closings were not believed, for a name that can't be one or because there were too many.
func (lst *List) RefusedClosings() int64 { return lst.refused }

// View returns what the list knows, for other instances.
func (lst *List) View() View {
	return View{End: lst.end, Closed: slices.Sorted(maps.Keys(lst.closed))}
}

// ApplySnapshot takes in the newest records of all domains, read when the log ended at an offset or later. A domain without a record is open.
// It reports whether anything has changed.
func (lst *List) ApplySnapshot(recs []Record, end int64) bool {
	if end <= lst.end {
		return false // A late answer, or one of a replica that lags.
	}
	return lst.replace(recs, end)
}

// ApplyRecords takes in the records between two offsets of the log and reports whether anything has changed.
func (lst *List) ApplyRecords(recs []Record, to int64) bool {
	if to <= lst.end {
		return false
	}
	was := maps.Clone(lst.closed)
	for _, rec := range recs {
		if rec.Offset >= lst.end {
			lst.set(rec)
		}
	}
	lst.end = to
	return !maps.Equal(was, lst.closed)
}

// Merge takes over what another instance knows, if it knows more, and reports whether anything has changed.
func (lst *List) Merge(viw View) bool {
	if viw.End <= lst.end {
		return false
	}
	recs := make([]Record, 0, len(viw.Closed))
	for _, dom := range viw.Closed {
		recs = append(recs, Record{Domain: dom, Closed: true})
	}
	return lst.replace(recs, viw.End)
}

func (lst *List) replace(recs []Record, end int64) bool {
	was := lst.closed
	lst.closed, lst.end = map[string]bool{}, end
	for _, rec := range recs {
		lst.set(rec)
	}
	return !maps.Equal(was, lst.closed)
}

func (lst *List) set(rec Record) {
	if !rec.Closed {
		delete(lst.closed, rec.Domain)
		return
	}
	if !lst.believes(rec.Domain) {
		lst.refused++
		return
	}
	lst.closed[rec.Domain] = true
}

// believes reports whether a domain may be closed. One that the settings do not name may have been added since they were written;
// closing it changes nothing until servers are listed there.
func (lst *List) believes(domain string) bool {
	if lst.domains[domain] || lst.closed[domain] {
		return true
	}
	unknown := 0
	for dom := range lst.closed {
		if !lst.domains[dom] {
			unknown++
		}
	}
	return domain != "" && len(domain) <= MaxNameLength && unknown < MaxUnknownDomains
}
