// This file defines the estimates of run times from declared ones.

package drive

import (
	"math"
	"time"

	"sycamoredeck.example/internal/store/graph"
)

const (
	// minFitSamples is how many runs of a queue have to end before its fit is used.
	minFitSamples = 50
	// maxFitSamples limits the weight of old runs, so that the fit adapts to changes.
	maxFitSamples = 3000
	// minVariance is the least variance of the logarithms of declared times for which a
	// slope is fitted; below it they are too similar.
	minVariance = 0.01
	// minJobSamples is how many runs of a job have to end before its own factor replaces
	// the fit of its queue.
	minJobSamples = 2
)

type (
	// durationFit is a linear regression of the actual run times of a queue on the
	// declared ones, both as logarithms. If declared times are right it yields them; if
	// they carry no information it yields the mean. The zero value has no samples.
	durationFit struct {
		samples, sumDeclared, sumActual, sumDeclaredSquared, sumProducts float64
	}

	// jobDurations sums up the logarithms of the ratios of actual to declared run times of
	// one job. The zero value has no samples.
	jobDurations struct {
		samples, sumLogRatios float64
	}
)

func logMillis(d time.Duration) float64 {
	return math.Log(max(float64(d.Milliseconds()), 1))
}

func (f *durationFit) add(declared, actual time.Duration) {
	if f.samples >= maxFitSamples {
		f.samples /= 2
		f.sumDeclared /= 2
		f.sumActual /= 2
		f.sumDeclaredSquared /= 2
		f.sumProducts /= 2
	}
	x, y := logMillis(declared), logMillis(actual)
	f.samples++
	f.sumDeclared += x
	f.sumActual += y
	f.sumDeclaredSquared += x * x
	f.sumProducts += x * y
}

// factor returns the expected ratio of a task's run time to the declared one; 1 while
// there are too few samples.
func (f *durationFit) factor(declared time.Duration) float64 {
	if f == nil || f.samples < minFitSamples {
		return 1
	}
	meanDeclared, meanActual := f.sumDeclared/f.samples, f.sumActual/f.samples
	slope := 1.0
	if variance := f.sumDeclaredSquared/f.samples - meanDeclared*meanDeclared; variance > minVariance {
		covariance := f.sumProducts/f.samples - meanDeclared*meanActual
		slope = min(max(covariance/variance, 0), 1)
	}
	x := logMillis(declared)
	return math.Exp(meanActual + slope*(x-meanDeclared) - x)
}

func (d *jobDurations) add(declared, actual time.Duration) {
	d.samples++
	d.sumLogRatios += logMillis(actual) - logMillis(declared)
}

// factor returns the mean ratio of a job's run times to the declared ones; false while
// there are too few samples.
func (d *jobDurations) factor() (float64, bool) {
	if d == nil || d.samples < minJobSamples {
		return 1, false
	}
	return math.Exp(d.sumLogRatios / d.samples), true
}

// recordDuration adds a successful run to the estimates, unless it was throttled or
// resumed.
func (e *Engine) recordDuration(r *run) {
	step := r.task.Stage.Step
	if step.EstimateMs == 0 || step.Standing || r.startedAt == 0 || r.throttledAt != 0 || r.task.Checkpoint != "" {
		return
	}
	declared, actual := declaredDuration(r.task.Stage), e.now-r.startedAt
	job := r.task.Stage.Job
	if e.estimates.queues[job.Queue] == nil {
		e.estimates.queues[job.Queue] = &durationFit{}
	}
	e.estimates.queues[job.Queue].add(declared, actual)
	if e.estimates.jobs[job] == nil {
		e.estimates.jobs[job] = &jobDurations{}
	}
	e.estimates.jobs[job].add(declared, actual)
}

// durationFactor returns the expected ratio of the run times of a stage, and of those
// that depend on it, to the declared ones: by the job's own runs, otherwise by its
// queue's.
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

// expectedDuration returns the expected run time of the tasks of a stage, false if it is unknown.
func (e *Engine) expectedDuration(s *graph.Stage) (time.Duration, bool) {
	return time.Duration(float64(declaredDuration(s)) * e.durationFactor(s)), s.Step.EstimateMs > 0 && !s.Standing()
}
