package catalogue

import (
	"maps"

	"chestnutstack/internal/request/job"
)

// Entry is one version of a catalogue entry; it is immutable.
type Entry struct {
	class   *job.Class
	deleted bool
}

// NewEntry returns an entry that governs as the class says; its version is the one that an edit is
// based on, or the one that the edit made.
func NewEntry(cls job.Class) Entry {
	cls.Limits.TeamQuota = maps.Clone(cls.Limits.TeamQuota)
	return Entry{class: &cls}
}

// Deletion returns the entry that an edit deletes a version with.
func Deletion(name string, owner job.Partner, version uint64) Entry {
	return Entry{class: &job.Class{Name: name, Owner: owner, Version: version}, deleted: true}
}

// Class returns what dispatch knows of the entry; it is shared and must not be changed.
func (ent Entry) Class() *job.Class { return ent.class }

// Name returns the name, such as riga/thumbnail.
func (ent Entry) Name() string { return ent.class.Name }

// Owner returns the partner that may edit the entry.
func (ent Entry) Owner() job.Partner { return ent.class.Owner }

// Version returns the offset of the edit that made this version; in an edit, the version that the
// edit is based on.
func (ent Entry) Version() uint64 { return ent.class.Version }

// Deleted reports whether this version takes the entry out of force.
func (ent Entry) Deleted() bool { return ent.deleted }

// at returns the entry as the version that an edit at an offset makes.
func (ent Entry) at(offset uint64) Entry {
	cls := *ent.class
	cls.Version = offset
	return Entry{class: &cls, deleted: ent.deleted}
}
