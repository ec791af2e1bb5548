package operator

import (
	"math"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"

	"chestnutstack/internal/request/job"
	"chestnutstack/internal/version/catalogue"
)

// Keys of an entry.
const (
	keyName       = "name"
	keyOwner      = "owner"
	keyClass      = "class"
	keyLimits     = "limits"
	keyNeeds      = "needs"
	keyRunTime    = "expected-run-time"
	keyRepeatable = "repeatable"
	keyObjective  = "objective"
	keyPrefer     = "prefer"
	keyVersion    = "version"
	keyDeleted    = "deleted"

	keyConcurrency  = "concurrency"
	keyRate         = "rate"
	keyQueue        = "queue"
	keyTeamQuota    = "team-quota"
	keyProcessors   = "processors"
	keyMemory       = "memory"
	keyAccelerators = "accelerators"
	keyTarget       = "target"
	keyShare        = "share"
)

func (rdr *reader) readEntry(nod ast.Node, path string) (catalogue.Entry, bool) {
	bef := len(rdr.findings)
	obj := rdr.object(nod, path, keyName, keyOwner, keyClass, keyLimits, keyNeeds, keyRunTime,
		keyRepeatable, keyObjective, keyPrefer, keyVersion, keyDeleted)
	obj.require(keyName, keyOwner)
	del := obj.boolean(keyDeleted)
	if !del {
		// Whether work may be repeated has no safe default for both partners: false costs a claim
		// for every thumbnail, true sends a second van.
		obj.require(keyClass, keyRunTime, keyRepeatable, keyObjective)
	}
	ent := catalogue.NewEntry(obj.class())
	if del {
		ent = catalogue.Deletion(ent.Name(), ent.Owner(), ent.Version())
	}
	if len(rdr.findings) > bef {
		return ent, false
	}
	for _, prb := range catalogue.Validate(ent) {
		rdr.add(rdr.place(path, prb.Field, obj.start), path+"."+prb.Field, "%s", prb.Text)
	}
	return ent, len(rdr.findings) == bef
}

// place returns where a field is, or else the nearest key above it.
func (rdr *reader) place(path, fld string, start *token.Token) *token.Token {
	for fld != "" {
		if tok, ok := rdr.places[path+"."+fld]; ok {
			return tok
		}
		idx := strings.LastIndex(fld, ".")
		fld = fld[:max(idx, 0)]
	}
	return start
}

func (obj object) class() job.Class {
	cls := job.Class{
		Name:       obj.text(keyName),
		Owner:      job.Partner(obj.text(keyOwner)),
		Class:      obj.text(keyClass),
		Limits:     obj.child(keyLimits, keyConcurrency, keyRate, keyQueue, keyTeamQuota).limits(),
		Needs:      obj.child(keyNeeds, keyProcessors, keyMemory, keyAccelerators).needs(),
		RunTime:    obj.duration(keyRunTime),
		Repeatable: obj.boolean(keyRepeatable),
		Objective:  obj.child(keyObjective, keyTarget, keyShare).objective(),
		Version:    obj.whole(keyVersion, math.MaxInt64),
	}
	prf, err := catalogue.ParsePreference(obj.text(keyPrefer))
	if err != nil {
		obj.wrong(keyPrefer, "response or messages")
	}
	cls.Prefer = prf
	return cls
}

func (obj object) limits() job.Limits {
	lim := job.Limits{
		Concurrency: obj.count(keyConcurrency),
		Rate:        obj.number(keyRate),
		Queue:       obj.count(keyQueue),
	}
	if !obj.has(keyTeamQuota) {
		return lim
	}
	qta := obj.child(keyTeamQuota)
	lim.TeamQuota = make(map[string]uint32, len(qta.fields))
	for tem := range qta.fields {
		lim.TeamQuota[tem] = qta.count(tem)
	}
	return lim
}

func (obj object) needs() job.Needs {
	return job.Needs{
		Processors:   obj.count(keyProcessors),
		MemoryBytes:  obj.size(keyMemory),
		Accelerators: obj.count(keyAccelerators),
	}
}

func (obj object) objective() job.Objective {
	return job.Objective{Target: obj.duration(keyTarget), Share: obj.number(keyShare)}
}
