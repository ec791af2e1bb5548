package catalogue

import (
	"maps"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	"chestnutstack/internal/request/callerpb"
	"chestnutstack/internal/request/job"
)

var preferenceWords = map[job.Preference]string{
	job.PreferResponse: "response",
	job.PreferMessages: "messages",
}

// PreferenceWord returns the word that files and messages use.
func PreferenceWord(prf job.Preference) string { return preferenceWords[prf] }

// ParsePreference reads what PreferenceWord wrote; an empty word is the default.
func ParsePreference(word string) (job.Preference, error) {
	switch word {
	case "", "response":
		return job.PreferResponse, nil
	case "messages":
		return job.PreferMessages, nil
	default:
		return job.PreferResponse, errors.Newf("%q is neither response nor messages", word)
	}
}

// EntryToProto maps an entry to its message.
func EntryToProto(ent Entry) *callerpb.CatalogueEntry {
	cls := ent.class
	msg := &callerpb.CatalogueEntry{
		Name:    cls.Name,
		Owner:   string(cls.Owner),
		Version: cls.Version,
		Deleted: ent.deleted,
	}
	if ent.deleted {
		return msg
	}
	msg.Class = cls.Class
	msg.Limits = &callerpb.Limits{
		Concurrency: cls.Limits.Concurrency,
		Rate:        cls.Limits.Rate,
		Queue:       cls.Limits.Queue,
		TeamQuota:   maps.Clone(cls.Limits.TeamQuota),
	}
	msg.Needs = &callerpb.ResourceNeeds{
		Processors:   cls.Needs.Processors,
		MemoryBytes:  cls.Needs.MemoryBytes,
		Accelerators: cls.Needs.Accelerators,
	}
	msg.ExpectedRunTime = durationpb.New(cls.RunTime)
	msg.Repeatable = cls.Repeatable
	msg.Objective = &callerpb.Objective{Target: durationpb.New(cls.Objective.Target), Share: cls.Objective.Share}
	msg.Prefer = preferenceWords[cls.Prefer]
	return msg
}

// EntryFromProto maps a message to an entry; it checks what has no place in an Entry, and leaves
// the rest to Validate.
func EntryFromProto(msg *callerpb.CatalogueEntry) (Entry, error) {
	if msg == nil {
		return Entry{}, errors.New("entry is missing")
	}
	if msg.GetDeleted() {
		return Deletion(msg.GetName(), job.Partner(msg.GetOwner()), msg.GetVersion()), nil
	}
	prf, err := ParsePreference(msg.GetPrefer())
	if err != nil {
		return Entry{}, errors.Wrap(err, "prefer")
	}
	return NewEntry(job.Class{
		Name:  msg.GetName(),
		Owner: job.Partner(msg.GetOwner()),
		Class: msg.GetClass(),
		Limits: job.Limits{
			Concurrency: msg.GetLimits().GetConcurrency(),
			Rate:        msg.GetLimits().GetRate(),
			Queue:       msg.GetLimits().GetQueue(),
			TeamQuota:   msg.GetLimits().GetTeamQuota(),
		},
		Needs: job.Needs{
			Processors:   msg.GetNeeds().GetProcessors(),
			MemoryBytes:  msg.GetNeeds().GetMemoryBytes(),
			Accelerators: msg.GetNeeds().GetAccelerators(),
		},
		RunTime:    durationFromProto(msg.GetExpectedRunTime()),
		Repeatable: msg.GetRepeatable(),
		Objective: job.Objective{
			Target: durationFromProto(msg.GetObjective().GetTarget()),
			Share:  msg.GetObjective().GetShare(),
		},
		Prefer:  prf,
		Version: msg.GetVersion(),
	}), nil
}

// durationFromProto returns 0, which Validate refuses, for a message that is no duration.
func durationFromProto(msg *durationpb.Duration) time.Duration {
	if msg == nil || msg.CheckValid() != nil {
		return 0
	}
	return msg.AsDuration()
}
