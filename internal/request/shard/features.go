package shard

// Feature names an optional decision of leaders and owners in logs and settings.
type Feature string

// The optional decisions.
const (
	// ServerSpeeds tells servers' lasting speeds from faults, corrects estimates and chooses servers by both.
	ServerSpeeds Feature = "server-speeds"
	// Headroom keeps room for urgent tasks that less urgent ones don't take.
	Headroom Feature = "headroom"
	// Preemption stops runs of less urgent tasks for urgent ones that can still be in time.
	Preemption Feature = "preemption"
	// Reservations promises free room to one owner at a time.
	Reservations Feature = "reservations"
)

// Features says which optional decisions may act. Each acts only where the load and the servers call for it; elsewhere all is decided as
// without it.
type Features struct {
	ServerSpeeds, Headroom, Preemption, Reservations bool
}

// AllFeatures returns all features.
func AllFeatures() Features {
	return Features{ServerSpeeds: true, Headroom: true, Preemption: true, Reservations: true}
}

// Figure is a number that a decision went by, with a kebab-case name that says its unit where the name needs one.
type Figure struct {
	Name  string
	Value float64
}

// FeatureChange announces that a feature has begun or ended to act, and by which figures.
type FeatureChange struct {
	Feature Feature
	Active  bool
	Figures []Figure
}

func (FeatureChange) action() {}
