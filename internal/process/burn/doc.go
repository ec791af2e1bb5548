// Package burn reports how fast each partner's classes use up their error budgets.
//
// The burn rate is the share of jobs that missed their objective over the share that may miss it:
// at 1 the budget lasts exactly as long as it is meant to. As is common practice, an alarm needs a
// long window, which shows that the loss matters, and a short one, which shows that it goes on.
package burn
