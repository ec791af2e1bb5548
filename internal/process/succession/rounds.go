package succession

import (
	"time"

	"chestnutstack/internal/request/shard"
)

// Rounds numbers the fencing tokens of one instance: each takeover has a round above all that the instance knows of. Backend servers keep the
// highest token that they have seen for longer than any process lives. So the log keeps a mark above all rounds in use, and an instance that
// hears none of these begins at the mark. It is not safe for concurrent use.
type Rounds struct {
	// highest is the highest round that was used here or heard of.
	highest int64
	// mark is the highest mark read from the log, stored the last one, which may be lower if an old write was carried out late.
	mark, stored int64
	// known is set once highest was one of the rounds in use. begun is set if it was above the mark then: all instances have begun at the mark, or
	// the store was away while rounds passed it.
	known, begun bool
	// accepted are the shards whose servers have accepted a token of this process.
	accepted map[shard.Name]bool
	// base is the mark at which the process began; leaps is how many refusals have raised highest to a round far above it.
	base  int64
	leaps int
}

const (
	// firstRound is above all rounds that instances use which have read no mark, and all their incarnations: they begin at their incarnation
	// and add one for each takeover.
	firstRound = 1 << 24
	// roundsPerMark is how far a new mark is above the highest round. The mark is renewed half of that before it is reached, so that as many
	// takeovers are possible while the store is away.
	roundsPerMark = 1 << 16
	// The first leap is a million rounds above the base, each of the maxLeaps leapFactor times as far as the one before: at most 17 million. A
	// process leaps within leapPeriod after its start only.
	firstLeap  = 1 << 20
	leapFactor = 4
	maxLeaps   = 3
	leapPeriod = 10 * time.Second
	// maxRound leaves 20 low bits of a token of 53 bits, which every JSON reader preserves.
	maxRound = 1<<33 - 1
)

// NewRounds returns the rounds of a process that begins at a round and has heard of no other.
func NewRounds(first int64) *Rounds {
	return &Rounds{highest: first, accepted: map[shard.Name]bool{}}
}

// Highest returns the highest round that was used here or heard of.
func (rds *Rounds) Highest() int64 { return rds.highest }

// Mark returns the highest mark read from the log.
func (rds *Rounds) Mark() int64 { return rds.mark }

// HandleHeard takes in the highest round of another instance. It reports false for a number that is no round.
func (rds *Rounds) HandleHeard(round int64) bool {
	if round < 0 || round > maxRound {
		return false
	}
	rds.raise(round)
	return true
}

// HandleMark takes in the mark that the log has, in the order of the log. It reports false for a number that is no round; then a new mark is due.
func (rds *Rounds) HandleMark(mark int64) bool {
	if mark < 0 || mark > maxRound {
		rds.stored = 0
		return false
	}
	rds.mark, rds.stored = max(rds.mark, mark), mark
	return true
}

// DueMark returns the mark to write to the log, or 0 if the one that it has is high enough.
func (rds *Rounds) DueMark() int64 {
	if rds.highest < firstRound || rds.highest <= rds.stored-roundsPerMark/2 {
		return 0
	}
	return min(max(rds.mark, rds.highest+roundsPerMark), maxRound)
}

// Company is what a process knows of the other instances when it chooses a round.
type Company struct {
	// Heard is the number of other instances that are heard, Listed that of others in the store's list.
	Heard, Listed int
	// Ready is how long the process has been able to lead.
	Ready time.Duration
}

// lonely reports whether other instances may live that the process has not heard yet.
func (cpy Company) lonely(timeout time.Duration) bool {
	return cpy.Heard == 0 && cpy.Listed > 0 && cpy.Ready < timeout
}

// Next returns the round that the next takeover would have.
func (rds *Rounds) Next(cpy Company) int64 {
	if rds.known || cpy.lonely(DefaultConfig().IsolationTimeout) {
		return min(rds.highest+1, maxRound)
	}
	return min(max(rds.mark, firstRound, rds.highest)+1, maxRound)
}

// Take raises the highest round to that of the next takeover and returns it.
func (rds *Rounds) Take(cpy Company) int64 {
	rds.raise(rds.Next(cpy))
	return rds.highest
}

// raise raises the highest round. One in use is above the highest at the time when the mark was written.
func (rds *Rounds) raise(round int64) {
	rds.highest = max(rds.highest, round)
	if !rds.known && rds.highest >= max(rds.mark-roundsPerMark, firstRound) {
		rds.known, rds.begun, rds.base = true, rds.highest > rds.mark, max(rds.mark, firstRound)
	}
}

// HandleAccepted takes note that a server of a shard has accepted this instance's token.
func (rds *Rounds) HandleAccepted(name shard.Name) { rds.accepted[name] = true }

// HandleRefused takes note that a server of a shard has refused this instance's token. The next round leaps if all instances seem to have begun at
// a mark that was too low, since the store was away while rounds passed it, or has lost it: adding one would take as many refusals as it lacks. Leaps
// of several instances add nothing to each other, as they go to the same rounds above the base.
func (rds *Rounds) HandleRefused(name shard.Name, cpy Company) {
	if !rds.begun || rds.accepted[name] || cpy.Ready > leapPeriod || rds.leaps == maxLeaps {
		return
	}
	step := int64(firstLeap)
	for range rds.leaps {
		step *= leapFactor
	}
	rds.leaps++
	rds.highest = min(max(rds.highest, rds.base+step), maxRound)
}
