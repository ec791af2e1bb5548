package operator

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"chestnutstack/internal/request/job"
	"chestnutstack/internal/version/catalogue"
)

// Write returns a catalogue file with the entries, their versions included: what was fetched can be
// edited and applied, and is rejected if somebody else was faster.
func Write(ens []catalogue.Entry) ([]byte, error) {
	lst := make([]yaml.MapSlice, len(ens))
	for idx, ent := range ens {
		lst[idx] = entryFields(ent)
	}
	dat, err := yaml.MarshalWithOptions(yaml.MapSlice{{Key: "entries", Value: lst}}, yaml.IndentSequence(true))
	return dat, errors.Wrap(err, "write catalogue file")
}

func entryFields(ent catalogue.Entry) yaml.MapSlice {
	cls := ent.Class()
	fds := yaml.MapSlice{
		{Key: keyName, Value: cls.Name},
		{Key: keyOwner, Value: string(cls.Owner)},
		{Key: keyVersion, Value: cls.Version},
	}
	if ent.Deleted() {
		return append(fds, yaml.MapItem{Key: keyDeleted, Value: true})
	}
	return append(fds, yaml.MapSlice{
		{Key: keyClass, Value: cls.Class},
		{Key: keyLimits, Value: limitFields(cls.Limits)},
		{Key: keyNeeds, Value: yaml.MapSlice{
			{Key: keyProcessors, Value: cls.Needs.Processors},
			{Key: keyMemory, Value: formatSize(cls.Needs.MemoryBytes)},
			{Key: keyAccelerators, Value: cls.Needs.Accelerators},
		}},
		{Key: keyRunTime, Value: cls.RunTime.String()},
		{Key: keyRepeatable, Value: cls.Repeatable},
		{Key: keyObjective, Value: yaml.MapSlice{
			{Key: keyTarget, Value: cls.Objective.Target.String()},
			{Key: keyShare, Value: plainNumber(cls.Objective.Share)},
		}},
		{Key: keyPrefer, Value: catalogue.PreferenceWord(cls.Prefer)},
	}...)
}

func limitFields(lim job.Limits) yaml.MapSlice {
	fds := yaml.MapSlice{
		{Key: keyConcurrency, Value: lim.Concurrency},
		{Key: keyRate, Value: plainNumber(lim.Rate)},
		{Key: keyQueue, Value: lim.Queue},
	}
	if lim.TeamQuota == nil {
		return fds
	}
	qta := make(yaml.MapSlice, 0, len(lim.TeamQuota))
	for _, tem := range slices.Sorted(maps.Keys(lim.TeamQuota)) {
		qta = append(qta, yaml.MapItem{Key: tem, Value: lim.TeamQuota[tem]})
	}
	return append(fds, yaml.MapItem{Key: keyTeamQuota, Value: qta})
}

// plainNumber is written without an exponent, which the parser would take for text.
type plainNumber float64

// MarshalYAML implements yaml.BytesMarshaler.
func (num plainNumber) MarshalYAML() ([]byte, error) {
	return strconv.AppendFloat(nil, float64(num), 'f', -1, 64), nil
}

// formatSize writes a size in the largest unit that it is a whole number of.
func formatSize(size uint64) any {
	for _, unt := range byteUnits {
		if size > 0 && size%unt.factor == 0 {
			return fmt.Sprintf("%d%s", size/unt.factor, unt.suffix)
		}
	}
	return size
}
