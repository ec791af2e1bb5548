package shard

import "slices"

// ServerKind is what servers of a shard have in common that decides which tasks they can ever run.
type ServerKind struct {
	Service string
	// Processor is in thousandths of a core, Memory in MB.
	Processor, Memory int64
	Labels            []string
}

// Kinds returns the kinds of some servers.
func Kinds(ents []ServerEntry) []ServerKind {
	var knds []ServerKind
	for idx := range ents {
		knd := ents[idx].Kind()
		if !slices.ContainsFunc(knds, func(oth ServerKind) bool { return knd.equal(&oth) }) {
			knds = append(knds, knd)
		}
	}
	return knds
}

// Kind returns the kind of the server.
func (ent *ServerEntry) Kind() ServerKind {
	return ServerKind{Service: ent.Service, Processor: ent.Processor, Memory: ent.Memory, Labels: ent.Labels}
}

func (knd *ServerKind) equal(oth *ServerKind) bool {
	return knd.Processor == oth.Processor && knd.Memory == oth.Memory && knd.Service == oth.Service && slices.Equal(knd.Labels, oth.Labels)
}

// Fits reports whether an idle server of the kind can run a task of a service and size that needs a label, if that is not empty; processor is in
// thousandths of a core, memory in MB.
func (knd *ServerKind) Fits(service, label string, processor, memory int64) bool {
	return knd.Service == service && knd.Processor >= processor && knd.Memory >= memory && (label == "" || slices.Contains(knd.Labels, label))
}
