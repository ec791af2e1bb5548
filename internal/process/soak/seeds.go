package soak

// Regression is a seed that broke a promise once and is played for good.
type Regression struct {
	Seed uint64
	// Cause is what was wrong.
	Cause string
}

// Regressions returns the seeds that ever broke a promise of the default shape.
func Regressions() []Regression {
	return []Regression{
		{2, "jobs that ran at the end of the time to stop got no answer; they are answered as they stand now"},
		{4, "the same, with jobs that came late in a stop"},
		{6, "a SIGHUP in the first milliseconds of a process ended it; it is taken before anything else is set up now"},
	}
}
