package load

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"chestnutstack/internal/request/callerpb"
	"chestnutstack/internal/request/job"
	"chestnutstack/internal/version/catalogue"
)

// kind is one kind of job of a profile, and the catalogue entry that it belongs to.
type kind struct {
	class string
	// weight is the share of the arrivals, relative to the other kinds.
	weight float64
	// Jobs have smallest to largest tasks, small ones more often.
	smallest, largest int
	// Tasks take shortest to longest; a share of them takes stragglerTime.
	shortest, longest time.Duration
	stragglers        float64
	stragglerTime     time.Duration
	// Expected is what the catalogue says of the run time.
	expected      time.Duration
	notRepeatable bool
	target        time.Duration
	share         float64
}

// Profile is the workload of one partner.
type Profile struct {
	partner job.Partner
	teams   []string
	// prefer is what the partner weighs more, as its catalogue entries say.
	prefer job.Preference
	kinds  []kind
}

// Partner returns whose workload it is.
func (prf Profile) Partner() job.Partner { return prf.partner }

// Riga is the workload of deckforge: interactive previews, exports of whole decks, brand checks.
func Riga() Profile {
	return Profile{
		partner: "riga",
		prefer:  job.PreferResponse,
		teams:   []string{"agencies", "schools", "shops"},
		kinds: []kind{
			{
				class: "thumbnail", weight: 0.75, smallest: 1, largest: 8,
				shortest: 50 * time.Millisecond, longest: 300 * time.Millisecond,
				expected: 150 * time.Millisecond, target: time.Second, share: 0.99,
			},
			{
				class: "export", weight: 0.1, smallest: 10, largest: 300,
				shortest: 100 * time.Millisecond, longest: time.Second,
				stragglers: 0.01, stragglerTime: 4 * time.Second,
				expected: 400 * time.Millisecond, target: 15 * time.Second, share: 0.99,
			},
			{
				class: "brand-check", weight: 0.15, smallest: 5, largest: 60,
				shortest: 50 * time.Millisecond, longest: 200 * time.Millisecond,
				expected: 100 * time.Millisecond, target: 5 * time.Second, share: 0.95,
			},
		},
	}
}

// Attica is the workload of dispatch-desk: dispatch orders that run at most once, quotations and
// checks of parts.
func Attica() Profile {
	return Profile{
		partner: "attica",
		prefer:  job.PreferMessages,
		teams:   []string{"peiraias", "marousi", "glyfada", "peristeri"},
		kinds: []kind{
			{
				class: "dispatch-order", weight: 0.2, smallest: 1, largest: 1,
				shortest: 50 * time.Millisecond, longest: 400 * time.Millisecond,
				expected: 200 * time.Millisecond, notRepeatable: true,
				target: 2 * time.Second, share: 0.99,
			},
			{
				class: "quotation", weight: 0.3, smallest: 4, largest: 120,
				shortest: 100 * time.Millisecond, longest: time.Second,
				stragglers: 0.005, stragglerTime: 3 * time.Second,
				expected: 300 * time.Millisecond, target: 10 * time.Second, share: 0.99,
			},
			{
				class: "part-check", weight: 0.5, smallest: 1, largest: 6,
				shortest: 50 * time.Millisecond, longest: 250 * time.Millisecond,
				expected: 120 * time.Millisecond, target: time.Second, share: 0.99,
			},
		},
	}
}

// Profiles returns every profile by name.
func Profiles() map[string]Profile {
	return map[string]Profile{"riga": Riga(), "attica": Attica()}
}

// Catalogue returns the catalogue entries that the profile's jobs belong to, without limits.
func (prf Profile) Catalogue() []*callerpb.CatalogueEntry {
	out := make([]*callerpb.CatalogueEntry, 0, len(prf.kinds))
	for _, knd := range prf.kinds {
		out = append(out, &callerpb.CatalogueEntry{
			Name:            prf.entryName(knd),
			Owner:           string(prf.partner),
			Class:           knd.class,
			ExpectedRunTime: durationpb.New(knd.expected),
			Repeatable:      !knd.notRepeatable,
			Prefer:          catalogue.PreferenceWord(prf.prefer),
			Objective: &callerpb.Objective{
				Target: durationpb.New(knd.target), Share: knd.share,
			},
		})
	}
	slices.SortFunc(out, func(one, two *callerpb.CatalogueEntry) int {
		return strings.Compare(one.GetName(), two.GetName())
	})
	return out
}

func (prf Profile) entryName(knd kind) string { return string(prf.partner) + "/" + knd.class }
