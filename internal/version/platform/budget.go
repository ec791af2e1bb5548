package platform

import (
	"context"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// Budget bounds the appends of this instance so that all instances together stay within what the
// log takes.
//
// Each instance has an equal share: the budget over the live entry instances of the platform's
// list. In any t seconds all of them append at most budget*t plus one each, as long as the list is
// right; where it shows only n of m instances, at most m/n times that.
type Budget struct {
	total float64
	lim   *rate.Limiter
}

// NewBudget returns a budget of appends a second for all entry instances together.
func NewBudget(perSecond float64) *Budget {
	bud := &Budget{total: perSecond, lim: rate.NewLimiter(rate.Limit(perSecond), 1)}
	return bud
}

// SetLive tells how many entry instances the platform's list has, with this one.
func (bud *Budget) SetLive(entries int) {
	bud.lim.SetLimit(rate.Limit(bud.total / float64(max(entries, 1))))
}

// Share returns the appends a second that this instance has.
func (bud *Budget) Share() float64 { return float64(bud.lim.Limit()) }

// wait returns once an append may be made.
func (bud *Budget) wait(ctx context.Context) error {
	return errors.Wrap(bud.lim.Wait(ctx), "append budget")
}
