package claim

import (
	"crypto/sha256"
	"time"
)

// Rules bound what is claimed; all entry instances must have the same.
type Rules struct {
	// MaxAhead bounds how far after its record a claim's not-after may lie.
	MaxAhead time.Duration
	// Hold is how long a submission stays claimed after its record. It must be longer than MaxAhead,
	// and the log must keep records for at least one and a half times as long: a reader knows no
	// claims but those that the log keeps.
	Hold time.Duration
	// MaxClaims bounds the claims that are held at once: a claimer that knows of as many makes no
	// more. It is not part of the rule, since readers that began at different offsets hold
	// different numbers.
	MaxClaims int
	// MaxSkew is how far the clocks of any two entry instances are assumed to differ at most.
	MaxSkew time.Duration
}

// DefaultRules fit a retention of an hour or more.
func DefaultRules() Rules {
	return Rules{
		MaxAhead:  10 * time.Minute,
		Hold:      30 * time.Minute,
		MaxClaims: 300_000,
		MaxSkew:   time.Second,
	}
}

// Reason is why a claim was not granted, in kebab case.
type Reason string

const (
	// ReasonNone goes with a granted claim.
	ReasonNone Reason = ""
	// ReasonClaimed means that another holder has the submission.
	ReasonClaimed Reason = "claimed-before"
	// ReasonTooLate means that the claim's not-after had passed when it was recorded.
	ReasonTooLate Reason = "not-after-passed"
	// ReasonTooFar means that the claim's not-after lies further ahead than claims protect.
	ReasonTooFar Reason = "not-after-too-far"
)

// Outcome is what the rule makes of a claim.
type Outcome struct {
	Claim   Claim
	Granted bool
	Reason  Reason
	// Winner is the holder that has the submission, if any.
	Winner string
}

// digest stands for a submission; whole ids of callers would cost several times the memory.
type digest [16]byte

func (key Key) digest() digest {
	sum := sha256.Sum256([]byte(string(key.Partner) + "\x00" + string(key.Submission)))
	return digest(sum[:len(digest{})])
}

type held struct {
	author string
	holder string
	// recorded is the latest claim's time on its author's clock.
	recorded time.Time
	// until is when the submission is free again; zero until another author's record came.
	until time.Time
	// contested is set once another holder was refused.
	contested bool
	// round tells the expiries of this claim from those of earlier ones.
	round uint64
}

type expiry struct {
	key   digest
	round uint64
}

// Table has the claims that hold after the records up to an offset. It is not safe for concurrent
// use.
type Table struct {
	rules  Rules
	offset uint64
	clock  logClock
	held   map[digest]held
	round  uint64
	// open has the claims since the last record of another author, all of one author.
	open []expiry
	// closing has the claims whose end is known, oldest first.
	closing []expiry
}

// New returns the table before the first record.
func New(rul Rules) *Table {
	return &Table{rules: rul, held: make(map[digest]held)}
}

// Offset returns the offset of the last record that was applied.
func (tbl *Table) Offset() uint64 { return tbl.offset }

// Len returns how many claims are held.
func (tbl *Table) Len() int { return len(tbl.held) }

// Winner returns the holder that has a submission, if any.
func (tbl *Table) Winner(key Key) (string, bool) {
	cur, ok := tbl.held[key.digest()]
	return cur.holder, ok
}

// Apply takes the record at an offset in and returns the outcome of each of its claims. Offsets
// must grow: a record that was applied before has no outcomes.
func (tbl *Table) Apply(offset uint64, bat Batch) []Outcome {
	if offset <= tbl.offset {
		return nil
	}
	tbl.offset = offset
	if tbl.clock.observe(bat.Author, bat.Time) {
		tbl.settle(bat.Time)
	}
	tbl.expire()
	for _, rel := range bat.Releases {
		tbl.release(bat.Author, rel)
	}
	ous := make([]Outcome, len(bat.Claims))
	for idx, clm := range bat.Claims {
		ous[idx] = tbl.claim(bat, clm)
	}
	return ous
}

// Skip moves over a record that cannot be read.
func (tbl *Table) Skip(offset uint64) { tbl.offset = max(tbl.offset, offset) }

func (tbl *Table) claim(bat Batch, clm Claim) Outcome {
	out := Outcome{Claim: clm}
	dig := clm.digest()
	cur, ok := tbl.held[dig]
	switch {
	case ok:
		out.Winner = cur.holder
		// A record that was appended twice comes out as it did the first time.
		out.Granted = cur.author == bat.Author && cur.holder == clm.Holder
		if !out.Granted {
			out.Reason = ReasonClaimed
			cur.contested = true
		}
		tbl.hold(dig, cur, bat.Time)
	case !clm.NotAfter.After(bat.Time):
		out.Reason = ReasonTooLate
	case clm.NotAfter.After(bat.Time.Add(tbl.rules.MaxAhead)):
		out.Reason = ReasonTooFar
	default:
		out.Granted = true
		out.Winner = clm.Holder
		tbl.hold(dig, held{author: bat.Author, holder: clm.Holder}, bat.Time)
	}
	return out
}

// hold keeps a submission from now on, also if the claim was refused. A reader that came later may
// not know why it was refused, and take it for the winner; were the old claim to end right after
// this one, a third claim would win as well for everybody else.
func (tbl *Table) hold(dig digest, cur held, recorded time.Time) {
	tbl.round++
	cur.round = tbl.round
	cur.until = time.Time{}
	cur.recorded = later(cur.recorded, recorded)
	tbl.held[dig] = cur
	tbl.open = append(tbl.open, expiry{key: dig, round: cur.round})
}

// settle gives the open claims their end, at the first record of another author. The claims' own
// author alone does not do: if its clock is behind by more than Hold, its claims would end before
// they are read. Of two clocks at most one is wrong, so the later is no earlier than the truth. The
// other record may itself be one that was long under way; the log's clock helps against that.
func (tbl *Table) settle(other time.Time) {
	for _, exp := range tbl.open {
		cur, ok := tbl.held[exp.key]
		if !ok || cur.round != exp.round {
			continue
		}
		cur.until = later(later(cur.recorded, other), tbl.clock.now()).Add(tbl.rules.Hold)
		tbl.held[exp.key] = cur
		tbl.closing = append(tbl.closing, exp)
	}
	tbl.open = nil
}

// release frees a submission, so that a caller that was told "not run" can submit it again. Only
// its holder's own author can: nobody else knows that nothing was started.
//
// Once another holder was refused, the submission stays claimed. A reader that came later may hold
// this claim for the winner where the others have long given the submission to that other one.
func (tbl *Table) release(author string, rel Release) {
	dig := rel.digest()
	cur, ok := tbl.held[dig]
	if ok && !cur.contested && cur.author == author && cur.holder == rel.Holder {
		delete(tbl.held, dig)
	}
}

// expire drops the claims whose end has passed. One author alone ends its own by its own clock.
func (tbl *Table) expire() {
	now := tbl.clock.now()
	tbl.closing = tbl.drop(tbl.closing, func(cur held) bool { return now.After(cur.until) })
	if tbl.clock.alone() {
		tbl.open = tbl.drop(tbl.open, func(cur held) bool { return now.After(cur.recorded.Add(tbl.rules.Hold)) })
	}
}

// drop removes claims from the front of a queue, up to the first that is not over.
func (tbl *Table) drop(queue []expiry, over func(held) bool) []expiry {
	for len(queue) > 0 {
		cur, ok := tbl.held[queue[0].key]
		current := ok && cur.round == queue[0].round
		if current && !over(cur) {
			break
		}
		if current {
			delete(tbl.held, queue[0].key)
		}
		queue = queue[1:]
	}
	return queue
}

// aloneAfter is how many records in a row make their author the only one.
const aloneAfter = 1000

// logClock is the time of the log: the newest time that two authors have reached.
//
// The log itself tells no time. Were it the newest time of any author, one instance whose clock is
// an hour ahead would end every claim at once, and submissions could be claimed a second time. The
// rule holds while no two clocks are wrong at once. An author that has been alone for long, such as
// the collector of a stream, is the clock by itself, or nothing would ever end.
type logClock struct {
	leader string
	first  time.Time
	second time.Time
	last   string
	row    int
}

func (clk *logClock) alone() bool { return clk.row >= aloneAfter }

func (clk *logClock) now() time.Time { return clk.second }

// observe takes a record in, and reports whether its author is another than that of the last one.
func (clk *logClock) observe(author string, tme time.Time) bool {
	switch {
	case author == clk.leader:
		clk.first = later(clk.first, tme)
	case tme.After(clk.first):
		clk.second = clk.first
		clk.leader, clk.first = author, tme
	default:
		clk.second = later(clk.second, tme)
	}
	other := author != clk.last
	if other {
		clk.last, clk.row = author, 0
	}
	clk.row++
	if clk.alone() {
		clk.second = later(clk.second, tme)
	}
	return other
}

func later(one, two time.Time) time.Time {
	if two.After(one) {
		return two
	}
	return one
}
