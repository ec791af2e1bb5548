package catalogue

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"chestnutstack/internal/request/job"
)

// Bounds of what an entry may say, so that one partner's edit cannot fill every entry instance.
const (
	MaxNameLength  = 100
	MaxTeams       = 2000
	MaxRunTime     = time.Hour
	MaxObjective   = time.Hour
	MaxConcurrency = 10_000_000
	MaxRate        = 10_000_000
)

var (
	partnerPattern = regexp.MustCompile(`^[a-z][a-z0-9-]*$`)
	namePattern    = regexp.MustCompile(`^[a-z][a-z0-9-]*/[a-z][a-z0-9-]*$`)
	wordPattern    = regexp.MustCompile(`^[a-z][a-z0-9-]*$`)
	teamPattern    = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
)

// Problem is one thing that is wrong with an entry.
type Problem struct {
	// Field is the kebab-case path of the field, such as limits.rate.
	Field string
	// Text says what is wrong with it.
	Text string
}

// String returns the field and the text.
func (prb Problem) String() string { return prb.Field + ": " + prb.Text }

type problems []Problem

func (prs *problems) check(good bool, field, format string, args ...any) {
	if !good {
		*prs = append(*prs, Problem{Field: field, Text: fmt.Sprintf(format, args...)})
	}
}

// Validate returns everything that is wrong with an entry, in the order of its fields.
func Validate(ent Entry) []Problem {
	cls := ent.class
	var prs problems
	prs.check(len(cls.Name) <= MaxNameLength, "name", "is longer than %d bytes", MaxNameLength)
	prs.check(namePattern.MatchString(cls.Name), "name", "%q is not PARTNER/NAME in kebab case", cls.Name)
	prs.check(partnerPattern.MatchString(string(cls.Owner)), "owner", "%q is not in kebab case", cls.Owner)
	own, _, _ := strings.Cut(cls.Name, "/")
	prs.check(own == string(cls.Owner), "owner", "%q does not own the name %q", cls.Owner, cls.Name)
	if ent.deleted {
		return prs
	}
	prs.check(wordPattern.MatchString(cls.Class) && len(cls.Class) <= MaxNameLength, "class",
		"%q is not in kebab case", cls.Class)
	validateLimits(&prs, cls.Limits)
	prs.check(cls.RunTime > 0 && cls.RunTime <= MaxRunTime, "expected-run-time",
		"%s is not above 0 and up to %s", cls.RunTime, MaxRunTime)
	obj := cls.Objective
	prs.check(obj.Target > 0 && obj.Target <= MaxObjective, "objective.target",
		"%s is not above 0 and up to %s", obj.Target, MaxObjective)
	prs.check(obj.Share > 0 && obj.Share < 1, "objective.share", "%v is not between 0 and 1", obj.Share)
	prs.check(cls.Prefer == job.PreferResponse || cls.Prefer == job.PreferMessages, "prefer",
		"is neither response nor messages")
	return prs
}

func validateLimits(prs *problems, lim job.Limits) {
	prs.check(lim.Concurrency <= MaxConcurrency, "limits.concurrency", "%d is above %d", lim.Concurrency, MaxConcurrency)
	prs.check(lim.Rate >= 0 && lim.Rate <= MaxRate, "limits.rate", "%v is not from 0 to %d", lim.Rate, MaxRate)
	prs.check(len(lim.TeamQuota) <= MaxTeams, "limits.team-quota", "%d teams are above %d", len(lim.TeamQuota), MaxTeams)
	for _, nam := range sortedKeys(lim.TeamQuota) {
		fld := "limits.team-quota." + nam
		prs.check(teamPattern.MatchString(nam) && len(nam) <= MaxNameLength, fld, "%q is not a team's name", nam)
		prs.check(lim.TeamQuota[nam] <= MaxConcurrency, fld, "%d is above %d", lim.TeamQuota[nam], MaxConcurrency)
	}
}

func sortedKeys[V any](mp map[string]V) []string {
	kys := make([]string, 0, len(mp))
	for key := range mp {
		kys = append(kys, key)
	}
	slices.Sort(kys)
	return kys
}
