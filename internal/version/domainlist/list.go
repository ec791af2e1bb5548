package domainlist

import (
	"maps"
	"slices"
)

// Unread is the End of a View of an instance that has read nothing of the log.
const Unread int64 = -1

// MaxUnknownDomains bounds the closed domains that the instance's settings do not name; MaxNameLength bounds a domain's name, in bytes.
const (
	MaxUnknownDomains = 100
	MaxNameLength     = 64
)

// Record says whether a failure domain is closed as of an offset of the log.
type Record struct {
	Offset int64
	Domain string
	Closed bool
}

// View is one instance's knowledge of the closed failure domains, as sent to others.
type View struct {
	// End is the offset before which the instance knows the whole log, or Unread.
	End int64
	// Closed has the names of the closed domains, sorted.
	Closed []string
}

// List is an instance's knowledge of the closed failure domains, updated by reads of the log and by the views of peers. It is not safe
// for concurrent use.
type List struct {
	// end is as View.End; settingsDomains are the failure domains named in the settings; refused is as RefusedClosings returns.
	end             int64
	closed          map[string]bool
	settingsDomains map[string]bool
	refused         int64
}

// New returns a list that has read nothing; domains are the failure domains named in the instance's settings.
func New(domains []string) *List {
	lst := &List{end: Unread, closed: map[string]bool{}, settingsDomains: make(map[string]bool, len(domains))}
	for _, dom := range domains {
		lst.settingsDomains[dom] = true
	}
	return lst
}

// Initialized reports whether the list has been read from the log or adopted from a peer.
func (lst *List) Initialized() bool { return lst.end != Unread }

// Closed reports whether a failure domain is closed to new work.
func (lst *List) Closed(domain string) bool { return lst.closed[domain] }

// RefusedClosings returns how many records of closings were ignored, as their domain name is invalid or too many unknown domains are
// closed.
func (lst *List) RefusedClosings() int64 { return lst.refused }

// View returns the list's knowledge, to be sent to other instances.
func (lst *List) View() View {
	return View{End: lst.end, Closed: slices.Sorted(maps.Keys(lst.closed))}
}

// ApplySnapshot replaces the closed domains by the newest records of all domains, read when the log ended at offset end or later; a
// domain without a record is open. It reports whether any domain has changed.
func (lst *List) ApplySnapshot(recs []Record, end int64) bool {
	if end <= lst.end {
		return false // A late answer, or one of a lagging replica.
	}
	return lst.replace(recs, end)
}

// ApplyRecords applies records of the log read before offset to, without those that are known, and reports whether any domain has
// changed.
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

// Merge adopts the view of another instance if it reaches further, and reports whether any domain has changed.
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
	if !lst.mayClose(rec.Domain) {
		lst.refused++
		return
	}
	lst.closed[rec.Domain] = true
}

// mayClose reports whether a closing of a domain is accepted. A domain that the settings do not name may have been added to the system
// since they were written; closing it has no effect until servers are listed there. The number of such domains is bounded.
func (lst *List) mayClose(domain string) bool {
	if lst.settingsDomains[domain] || lst.closed[domain] {
		return true
	}
	unknown := 0
	for dom := range lst.closed {
		if !lst.settingsDomains[dom] {
			unknown++
		}
	}
	return domain != "" && len(domain) <= MaxNameLength && unknown < MaxUnknownDomains
}
