package succession

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// oldMark is the mark of a system that has run for a while.
const oldMark = firstRound + 100*roundsPerMark

var inCompany = Company{Heard: 2, Listed: 3, Ready: 110 * time.Millisecond}

func TestRoundOfTakeover(t *testing.T) {
	alone := func(ready time.Duration) Company { return Company{Listed: 3, Ready: ready} }
	cases := map[string]struct {
		first, mark, heard int64
		company            Company
		want               int64
	}{
		"first start of a system":                         {first: 3, company: inCompany, want: firstRound + 1},
		"first start of a system of one":                  {first: 1, company: Company{}, want: firstRound + 1},
		"all start again":                                 {first: 9, mark: oldMark, heard: 8, company: inCompany, want: oldMark + 1},
		"another one has begun at the mark":               {first: 9, mark: oldMark, heard: oldMark + 4, company: inCompany, want: oldMark + 5},
		"starts beside others that run":                   {first: 9, mark: oldMark, heard: oldMark - roundsPerMark + 7, company: inCompany, want: oldMark - roundsPerMark + 8},
		"starts beside others that have passed the mark":  {first: 9, mark: oldMark, heard: oldMark + 7e6, company: inCompany, want: oldMark + 7e6 + 1},
		"starts again as the only one of a system of one": {first: 9, mark: oldMark, company: Company{}, want: oldMark + 1},
		"has heard nobody yet":                            {first: 9, mark: oldMark, company: alone(110 * time.Millisecond), want: 10},
		"has heard nobody for long":                       {first: 9, mark: oldMark, company: alone(1500 * time.Millisecond), want: oldMark + 1},
		"has heard others that run, which were lost":      {first: 9, mark: oldMark, heard: oldMark - 5, company: alone(time.Hour), want: oldMark - 4},
		"beside instances of the former version":          {first: 9, heard: 84, company: inCompany, want: firstRound + 1},
		"beside former ones that have heard new ones":     {first: 9, mark: oldMark, heard: oldMark - 30, company: inCompany, want: oldMark - 29},
		"incarnations that were taken for rounds":         {first: 90, mark: firstRound + roundsPerMark, heard: 89, company: inCompany, want: firstRound + roundsPerMark + 1},
		"the range is used up":                            {first: 9, mark: maxRound, company: inCompany, want: maxRound},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			rds := NewRounds(cse.first)
			chk.True(rds.HandleMark(cse.mark))
			chk.True(rds.HandleHeard(cse.heard))
			chk.Equal(rds.Next(cse.company), cse.want)
			chk.Equal(rds.Take(cse.company), cse.want)
			chk.Equal(rds.Highest(), cse.want)
		})
	}
}

func TestImpossibleRounds(t *testing.T) {
	// Guards against a range that one wrong record or heartbeat uses up.
	chk := is.New(t)
	rds := NewRounds(9)
	for _, num := range []int64{-1, maxRound + 1, 1 << 62} {
		chk.True(!rds.HandleMark(num))
		chk.True(!rds.HandleHeard(num))
	}
	chk.Equal(rds.Take(inCompany), int64(firstRound+1))
	chk.True(int64(maxRound)<<20|(1<<20-1) < 1<<53)
}

func TestRefusedTokens(t *testing.T) {
	cases := map[string]struct {
		prepare  func(rds *Rounds)
		company  Company
		refusals int
		want     int64
	}{
		"all have begun at a mark that was too low": {company: inCompany, refusals: 1, want: oldMark + firstLeap + 1},
		"three times":     {company: inCompany, refusals: 3, want: oldMark + 16*firstLeap + 1},
		"again and again": {company: inCompany, refusals: 1000, want: oldMark + 16*firstLeap + 998},
		"another one has leapt as well": {
			prepare: func(rds *Rounds) { rds.HandleHeard(oldMark + firstLeap + 5) }, company: inCompany, refusals: 1, want: oldMark + firstLeap + 6,
		},
		"has been accepted by the shard": {
			prepare: func(rds *Rounds) { rds.HandleAccepted("a.0") }, company: inCompany, refusals: 50, want: oldMark + 51,
		},
		"has run for long": {company: Company{Heard: 2, Listed: 3, Ready: time.Minute}, refusals: 50, want: oldMark + 51},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			rds := NewRounds(9)
			rds.HandleMark(oldMark)
			chk.Equal(rds.Take(cse.company), int64(oldMark+1))
			if cse.prepare != nil {
				cse.prepare(rds)
			}
			for num := range cse.refusals {
				rds.HandleRefused("a.0", cse.company)
				if num < cse.refusals-1 {
					rds.Take(cse.company)
				}
			}
			chk.Equal(rds.Next(cse.company), cse.want)
		})
	}
}

func TestCutOffInstanceAddsOneARefusal(t *testing.T) {
	// Guards against an instance that is cut off from all others, but not from their servers, and takes these from healthy leaders, or uses up the
	// range: it began beside them, so that it knows the present rounds, and it reads their marks.
	chk := is.New(t)
	rds := NewRounds(9)
	rds.HandleMark(oldMark)
	rds.HandleHeard(oldMark - 900)
	for num := range 1000 {
		chk.Equal(rds.Take(Company{Listed: 3, Ready: time.Second}), oldMark-900+int64(num)+1)
		rds.HandleRefused("a.0", Company{Listed: 3, Ready: time.Second})
		rds.HandleMark(oldMark + int64(num)*roundsPerMark)
	}
}

func TestRoundsBesideTheFormerVersion(t *testing.T) {
	// Guards against instances of the former version, which add one to the highest round that they have heard, and new ones that refuse each other for ever.
	chk := is.New(t)
	rds, former := NewRounds(9), int64(84)
	for range 10 {
		rds.HandleHeard(former)
		rnd := rds.Take(inCompany)
		chk.True(rnd > former)
		former = max(former, rds.Highest()) + 1
		chk.True(former == rnd+1)
	}
}

func TestDueMark(t *testing.T) {
	chk := is.New(t)
	rds := NewRounds(9)
	chk.Equal(rds.DueMark(), int64(0)) // No round is in use yet.
	rds.Take(inCompany)
	chk.Equal(rds.DueMark(), int64(firstRound+1+roundsPerMark))
	rds.HandleMark(rds.DueMark())
	chk.Equal(rds.DueMark(), int64(0))
	writes := 0
	for range 10 * roundsPerMark {
		rds.Take(inCompany)
		if mrk := rds.DueMark(); mrk > 0 {
			chk.True(mrk >= rds.Highest()+roundsPerMark/2)
			rds.HandleMark(mrk)
			writes++
		}
	}
	chk.Equal(writes, 19) // One in 32,769 takeovers.
	top := rds.Mark()
	rds.HandleMark(oldMark - 90*roundsPerMark) // A late write of an instance that was paused.
	chk.True(rds.DueMark() >= top)
	rds.HandleMark(rds.DueMark())
	chk.True(!rds.HandleMark(-1)) // What another writer has put there is overwritten.
	chk.True(rds.DueMark() >= top)
	rds.HandleHeard(maxRound)
	chk.Equal(rds.DueMark(), int64(maxRound))
}

func TestBackoffBeginsAnew(t *testing.T) {
	// Guards against a shard that waits for seconds after its first refused takeover in hours, because of others long before.
	chk := is.New(t)
	fix := newFixture(0.4)
	cfg := DefaultConfig()
	for range 10 {
		fix.elc.HandleTakeover(fix.now, "a.0", 9)
		fix.elc.HandleLeadershipEnd(fix.now, "a.0", true)
	}
	fix.now = fix.now.Add(2*cfg.MaxBackoff + time.Millisecond)
	fix.elc.HandleTakeover(fix.now, "a.0", 9)
	fix.elc.HandleLeadershipEnd(fix.now, "a.0", true)
	chk.True(!fix.takeovers(cfg.InitialBackoff - time.Millisecond)["a.0"])
	chk.True(fix.takeovers(cfg.MaxBackoff / 2)["a.0"])
}
