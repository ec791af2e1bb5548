package domainlist

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func closing(offset int64, domain string) Record {
	return Record{Offset: offset, Domain: domain, Closed: true}
}

func opening(offset int64, domain string) Record { return Record{Offset: offset, Domain: domain} }

func TestList(t *testing.T) {
	cases := map[string]struct {
		updates func(lst *List)
		want    View
	}{
		"nothing read": {
			updates: func(*List) {},
			want:    View{End: -1},
		},
		"closed before the first read": {
			updates: func(lst *List) { lst.ApplySnapshot([]Record{closing(3, "a")}, 9) },
			want:    View{End: 9, Closed: []string{"a"}},
		},
		"closed and opened in one read": {
			updates: func(lst *List) {
				lst.ApplySnapshot(nil, 3)
				lst.ApplyRecords([]Record{closing(3, "a"), opening(4, "a")}, 5)
			},
			want: View{End: 5},
		},
		"two closed in one read": {
			updates: func(lst *List) {
				lst.ApplySnapshot(nil, 3)
				lst.ApplyRecords([]Record{closing(3, "a"), closing(4, "b")}, 5)
			},
			want: View{End: 5, Closed: []string{"a", "b"}},
		},
		"a late snapshot does not open a domain closed after it": {
			updates: func(lst *List) {
				lst.ApplySnapshot(nil, 3)
				lst.ApplyRecords([]Record{closing(3, "a")}, 4)
				lst.ApplySnapshot(nil, 2)
			},
			want: View{End: 4, Closed: []string{"a"}},
		},
		"records read again have no effect": {
			updates: func(lst *List) {
				lst.ApplySnapshot(nil, 0)
				lst.ApplyRecords([]Record{closing(0, "a"), opening(1, "a")}, 2)
				lst.ApplyRecords([]Record{closing(0, "a")}, 1)
			},
			want: View{End: 2},
		},
		"opened while the log was truncated": {
			updates: func(lst *List) {
				lst.ApplySnapshot(nil, 0)
				lst.ApplyRecords([]Record{closing(0, "a")}, 1)
				lst.ApplySnapshot(nil, 7)
			},
			want: View{End: 7},
		},
		"still closed after the log was truncated": {
			updates: func(lst *List) {
				lst.ApplySnapshot(nil, 0)
				lst.ApplyRecords([]Record{closing(0, "a")}, 1)
				lst.ApplySnapshot([]Record{closing(0, "a")}, 7)
			},
			want: View{End: 7, Closed: []string{"a"}},
		},
		"a peer knows more": {
			updates: func(lst *List) {
				lst.ApplySnapshot([]Record{closing(0, "a")}, 2)
				lst.Merge(View{End: 5, Closed: []string{"b"}})
			},
			want: View{End: 5, Closed: []string{"b"}},
		},
		"a peer knows less": {
			updates: func(lst *List) {
				lst.ApplySnapshot([]Record{closing(0, "a")}, 2)
				lst.Merge(View{End: 1})
				lst.Merge(View{End: -1})
			},
			want: View{End: 2, Closed: []string{"a"}},
		},
		"a peer is ahead of the own reads": {
			updates: func(lst *List) {
				lst.ApplySnapshot(nil, 2)
				lst.Merge(View{End: 4})
				lst.ApplyRecords([]Record{closing(2, "a"), opening(3, "a"), closing(4, "b")}, 5)
			},
			want: View{End: 5, Closed: []string{"b"}},
		},
		"no name": {
			updates: func(lst *List) { lst.ApplySnapshot([]Record{closing(0, "")}, 1) },
			want:    View{End: 1},
		},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			lst := New([]string{"a", "b"})
			cse.updates(lst)
			chk.Equal(lst.View().End, cse.want.End)
			chk.True(slices.Equal(lst.View().Closed, cse.want.Closed))
		})
	}
}

// Guards against memory and batches that grow without bound when someone writes closings of thousands of domains that don't exist.
func TestClosingsOfManyUnknownDomains(t *testing.T) {
	chk := is.New(t)
	lst := New([]string{"a"})
	var recs []Record
	for num := range int64(10_000) {
		recs = append(recs, closing(num, fmt.Sprint("none-", num)))
	}
	lst.ApplySnapshot(append(recs, closing(10_000, "a")), 10_001)
	chk.True(lst.Closed("a"))
	chk.Equal(len(lst.View().Closed), MaxUnknownDomains+1)
	chk.Equal(lst.RefusedClosings(), int64(10_000-MaxUnknownDomains))
}

// Guards against an instance that has read the log to its end but knows something else than its content, after partial, late and
// repeated reads and merges of the views of others.
func TestListsAgreeWithTheLog(t *testing.T) {
	domains := []string{"a", "b", "c"}
	rapid.Check(t, func(rpd *rapid.T) {
		var log []Record
		lsts := []*List{New(domains), New(domains), New(domains)}
		nexts := make([]int64, len(lsts))
		for step := range rapid.IntRange(1, 60).Draw(rpd, "steps") {
			num := rapid.IntRange(0, len(lsts)-1).Draw(rpd, fmt.Sprint("instance ", step))
			lst, end := lsts[num], int64(len(log))
			switch rapid.IntRange(0, 3).Draw(rpd, fmt.Sprint("what ", step)) {
			case 0:
				log = append(log, Record{
					Offset: end, Domain: rapid.SampledFrom(domains).Draw(rpd, "domain"), Closed: rapid.Bool().Draw(rpd, "closed"),
				})
			case 1:
				// The answer may come from a lagging replica.
				end = rapid.Int64Range(0, end).Draw(rpd, "end")
				lst.ApplySnapshot(newest(log[:end]), end)
				nexts[num] = end
			case 2:
				lst.Merge(lsts[rapid.IntRange(0, len(lsts)-1).Draw(rpd, "peer")].View())
			case 3:
				if lst.Initialized() {
					lst.ApplyRecords(log[nexts[num]:end], end)
					nexts[num] = end
				}
			}
		}
		for num, lst := range lsts {
			lst.ApplySnapshot(newest(log), int64(len(log)))
			if want := state(log); !maps.Equal(lst.closed, want) {
				rpd.Fatalf("instance %d knows %v, the content of the log is %v", num, lst.closed, want)
			}
		}
	})
}

// newest returns the newest records of the closed domains.
func newest(log []Record) []Record {
	var recs []Record
	for dom := range state(log) {
		recs = append(recs, Record{Domain: dom, Closed: true})
	}
	return recs
}

// state returns the domains that are closed after all records of the log.
func state(log []Record) map[string]bool {
	stt := map[string]bool{}
	for _, rec := range log {
		if rec.Closed {
			stt[rec.Domain] = true
		} else {
			delete(stt, rec.Domain)
		}
	}
	return stt
}
