package job

import "time"

// Needs has the resources that one task takes of a worker.
type Needs struct {
	Processors   uint32
	MemoryBytes  uint64
	Accelerators uint32
}

// Limits bound the tasks of a catalogue entry in the whole pool; 0 stands for no limit.
type Limits struct {
	// Concurrency bounds the tasks that run at once.
	Concurrency uint32
	// Rate bounds the task starts per second.
	Rate float64
	// Queue bounds the tasks that wait at once.
	Queue uint32
	// TeamQuota bounds the tasks that run at once, by team.
	TeamQuota map[string]uint32
}

// Objective is the service level objective of a catalogue entry.
type Objective struct {
	// Target is the response time.
	Target time.Duration
	// Share is the part of the requests that is to meet the target, between 0 and 1.
	Share float64
}

// Preference tells whether response time or messages are saved when the pool has too little capacity.
type Preference int

const (
	// PreferResponse spends messages to save response time.
	PreferResponse Preference = iota
	// PreferMessages accepts short waits to save messages.
	PreferMessages
)

// Class is the part of a catalogue entry that dispatch uses, as of one version of the catalogue.
type Class struct {
	// Name is the name of the catalogue entry, such as riga/thumbnail.
	Name string
	// Owner is the partner that owns the entry.
	Owner Partner
	// Class is the class that the entry's metrics are labelled with; entries may share one.
	Class  string
	Limits Limits
	Needs  Needs
	// RunTime is the run time of one task as the entry declares it.
	RunTime time.Duration
	// Repeatable is false for tasks that must run at most once.
	Repeatable bool
	Objective  Objective
	Prefer     Preference
	// Version is the catalogue offset of this version of the entry.
	Version uint64
}
