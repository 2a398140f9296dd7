// This file defines what is learned of how long tasks take against what is declared.

package drive

import (
	"math"
	"time"

	"sycamoredeck.example/internal/store/graph"
)

const (
	// minFitSamples is how many runs of a queue have to end before their times count.
	minFitSamples = 50
	// maxFitSamples bounds how many runs count, so that work which changes is followed.
	maxFitSamples = 3000
	// minVariance of the logarithms of declared times is needed to tell how real times
	// follow them; below it they are all alike.
	minVariance = 0.01
	// minJobSamples is how many runs of a job have to end before they go before its queue's.
	minJobSamples = 2
)

type (
	// durationFit is the real times of a queue's runs fitted to the declared ones, both as
	// logarithms: what is declared is off by a factor, a different one for each job. Where
	// declared times are right the fit gives them back; where they say nothing it gives
	// the usual time. The zero value has no samples.
	durationFit struct {
		samples, sumDeclared, sumActual, sumDeclaredSquared, sumProducts float64
	}

	// jobDurations are the factors by which a job's ended runs took longer than declared. The
	// zero value has no samples.
	jobDurations struct {
		samples, sumLogRatios float64
	}
)

func logMillis(d time.Duration) float64 {
	return math.Log(max(float64(d.Milliseconds()), 1))
}

func (f *durationFit) add(declared, taken time.Duration) {
	if f.samples >= maxFitSamples {
		f.samples /= 2
		f.sumDeclared /= 2
		f.sumActual /= 2
		f.sumDeclaredSquared /= 2
		f.sumProducts /= 2
	}
	x, y := logMillis(declared), logMillis(taken)
	f.samples++
	f.sumDeclared += x
	f.sumActual += y
	f.sumDeclaredSquared += x * x
	f.sumProducts += x * y
}

// factor is how many times as long as declared a task is expected to take; 1 while too
// few runs have ended.
func (f *durationFit) factor(declared time.Duration) float64 {
	if f == nil || f.samples < minFitSamples {
		return 1
	}
	meanDeclared, meanTaken := f.sumDeclared/f.samples, f.sumActual/f.samples
	slope := 1.0
	if variance := f.sumDeclaredSquared/f.samples - meanDeclared*meanDeclared; variance > minVariance {
		covariance := f.sumProducts/f.samples - meanDeclared*meanTaken
		slope = min(max(covariance/variance, 0), 1)
	}
	x := logMillis(declared)
	return math.Exp(meanTaken + slope*(x-meanDeclared) - x)
}

func (o *jobDurations) add(declared, taken time.Duration) {
	o.samples++
	o.sumLogRatios += logMillis(taken) - logMillis(declared)
}

// factor is how many times as long as declared a job's runs took; false while too few
// have ended.
func (o *jobDurations) factor() (float64, bool) {
	if o == nil || o.samples < minJobSamples {
		return 1, false
	}
	return math.Exp(o.sumLogRatios / o.samples), true
}

// recordDuration learns from a run that ended as done, unless it was slowed or resumed.
func (e *Engine) recordDuration(r *run) {
	step := r.task.Stage.Step
	if step.EstimateMs == 0 || step.Standing || r.startedAt == 0 || r.throttledAt != 0 || r.task.Checkpoint != "" {
		return
	}
	declared, taken := declaredDuration(r.task.Stage), e.now-r.startedAt
	job := r.task.Stage.Job
	if e.estimates.queues[job.Queue] == nil {
		e.estimates.queues[job.Queue] = &durationFit{}
	}
	e.estimates.queues[job.Queue].add(declared, taken)
	if e.estimates.jobs[job] == nil {
		e.estimates.jobs[job] = &jobDurations{}
	}
	e.estimates.jobs[job].add(declared, taken)
}

// durationFactor is how many times as long as declared the tasks of a stage, and those that
// follow it, are expected to take: by the job's own runs, else by those of its queue.
func (e *Engine) durationFactor(s *graph.Stage) float64 {
	if !e.enabled(EstimateDurations) || s.Step.EstimateMs == 0 {
		return 1
	}
	if own, known := e.estimates.jobs[s.Job].factor(); known {
		return own
	}
	return e.estimates.queues[s.Job.Queue].factor(declaredDuration(s))
}

func declaredDuration(s *graph.Stage) time.Duration {
	return time.Duration(s.Step.EstimateMs) * time.Millisecond
}
