package claim

import "time"

const (
	// skewMemory is how long an author's record tells of its clock.
	skewMemory = 10 * time.Minute
	// oldMemory is how long a record that was old on arrival does. The log may have been slow, and
	// if nobody claimed for it, no fresher record would ever come to clear it up.
	oldMemory = 10 * time.Second
)

// Skew compares this instance's clock with the times of records that other instances wrote.
//
// A record from the future proves that one of the two clocks is wrong, and so does, for a reader
// that waits at the end of the log, one that is old on arrival, unless the log is slow. Which of
// the two it is, the others tell: this instance is suspect if it disagrees with more authors than
// it agrees with. It claims nothing then. Alone with one other author, both are suspect.
type Skew struct {
	limit   time.Duration
	self    string
	authors map[string]opinion
}

type opinion struct {
	agrees bool
	until  time.Time
}

// NewSkew returns a comparison for the instance with that author's name.
func NewSkew(self string, limit time.Duration) *Skew {
	return &Skew{self: self, limit: limit, authors: make(map[string]opinion)}
}

// Observe takes in the time of a record that was just read at the end of the log.
func (skw *Skew) Observe(author string, record, now time.Time) {
	if author == skw.self {
		return
	}
	age := now.Sub(record)
	opn := opinion{agrees: age.Abs() <= skw.limit, until: now.Add(skewMemory)}
	if age > skw.limit {
		opn.until = now.Add(oldMemory)
	}
	skw.authors[author] = opn
	for nam, opn := range skw.authors {
		if now.After(opn.until) {
			delete(skw.authors, nam)
		}
	}
}

// Suspect reports whether this instance's clock is the likelier one to be wrong.
func (skw *Skew) Suspect(now time.Time) bool {
	balance := 0
	for _, opn := range skw.authors {
		if now.After(opn.until) {
			continue
		}
		if opn.agrees {
			balance++
		} else {
			balance--
		}
	}
	return balance < 0
}
