package submission

import (
	"math"
	"slices"
	"time"

	"chestnutstack/internal/request/shard"
	"chestnutstack/internal/request/speed"
)

// CorrectionChange announces that the estimates of a route are corrected from now on, or no longer.
type CorrectionChange struct {
	Route  string
	Active bool
	// Factor is the median run time on an average server over its estimate, Deviation the mean size of ln(run time / estimate) around it; Runs is how
	// many runs they are from.
	Factor, Deviation float64
	Runs              int
}

func (CorrectionChange) action() {}

// correctEstimates corrects the estimates of a new job by what was learned of its route. The due times, the rank and the admission of the job and the
// expectations of leaders follow from the estimates.
func (crd *Coordinator) correctEstimates(jb *job) {
	rte := crd.routes[jb.sub.Route]
	if rte == nil || rte.Correction() == 0 {
		return
	}
	jb.correction = rte.Correction()
	factor := math.Exp(jb.correction)
	jb.sub.Steps = slices.Clone(jb.sub.Steps)
	for idx := range jb.sub.Steps {
		stp := &jb.sub.Steps[idx]
		stp.ExpectedRunTime = time.Duration(factor * float64(stp.ExpectedRunTime))
	}
}

// learnEstimate compares the run time in a report of a task that is done with the estimate of its caller. The time of a run that another leader had
// started is not known.
func (crd *Coordinator) learnEstimate(tsk *task, rep *shard.Report) {
	estimate := tsk.job.sub.Steps[tsk.step].ExpectedRunTime
	if !crd.cfg.Features.ServerSpeeds || tsk.reassigned || estimate <= 0 || rep.Took <= 0 {
		return
	}
	rte := crd.routes[tsk.job.sub.Route]
	if rte == nil {
		rte = &speed.Route{}
		crd.routes[tsk.job.sub.Route] = rte
	}
	before := rte.Correction() != 0
	rte.Add(math.Log(float64(rep.Took)/float64(estimate)) + tsk.job.correction - math.Log(rep.ServerFactor()))
	if after := rte.Correction() != 0; after != before {
		crd.emit(CorrectionChange{
			Route: tsk.job.sub.Route, Active: after, Factor: math.Exp(rte.Location()), Deviation: rte.Size(), Runs: rte.Samples(),
		})
	}
}

// CorrectedRoutes returns the number of routes whose estimates are corrected.
func (crd *Coordinator) CorrectedRoutes() int {
	num := 0
	for _, rte := range crd.routes {
		if rte.Correction() != 0 {
			num++
		}
	}
	return num
}
