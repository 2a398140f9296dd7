// This file defines what is learned of how long tasks take against what is declared.

package drive

import (
	"math"
	"time"

	"sycamoredeck.example/internal/store/graph"
)

const (
	// fitSamples is how many runs of a queue have to end before their times count.
	fitSamples = 50
	// recentSamples bounds how many runs count, so that work which changes is followed.
	recentSamples = 3000
	// leastVariance of the logarithms of declared times is needed to tell how real times
	// follow them; below it they are all alike.
	leastVariance = 0.01
	// ownSamples is how many runs of a job have to end before they go before its queue's.
	ownSamples = 2
)

type (
	// timeFit is the real times of a queue's runs fitted to the declared ones, both as
	// logarithms: what is declared is off by a factor, a different one for each job. Where
	// declared times are right the fit gives them back; where they say nothing it gives
	// the usual time. The zero value has no samples.
	timeFit struct {
		samples, declared, taken, declaredSquares, products float64
	}

	// ownTimes are the factors by which a job's ended runs took longer than declared. The
	// zero value has no samples.
	ownTimes struct {
		samples, logarithms float64
	}
)

func logarithm(d time.Duration) float64 {
	return math.Log(max(float64(d.Milliseconds()), 1))
}

func (f *timeFit) note(declared, taken time.Duration) {
	if f.samples >= recentSamples {
		f.samples /= 2
		f.declared /= 2
		f.taken /= 2
		f.declaredSquares /= 2
		f.products /= 2
	}
	x, y := logarithm(declared), logarithm(taken)
	f.samples++
	f.declared += x
	f.taken += y
	f.declaredSquares += x * x
	f.products += x * y
}

// factor is how many times as long as declared a task is expected to take; 1 while too
// few runs have ended.
func (f *timeFit) factor(declared time.Duration) float64 {
	if f == nil || f.samples < fitSamples {
		return 1
	}
	meanDeclared, meanTaken := f.declared/f.samples, f.taken/f.samples
	slope := 1.0
	if variance := f.declaredSquares/f.samples - meanDeclared*meanDeclared; variance > leastVariance {
		covariance := f.products/f.samples - meanDeclared*meanTaken
		slope = min(max(covariance/variance, 0), 1)
	}
	x := logarithm(declared)
	return math.Exp(meanTaken + slope*(x-meanDeclared) - x)
}

func (o *ownTimes) note(declared, taken time.Duration) {
	o.samples++
	o.logarithms += logarithm(taken) - logarithm(declared)
}

// factor is how many times as long as declared a job's runs took; false while too few
// have ended.
func (o *ownTimes) factor() (float64, bool) {
	if o == nil || o.samples < ownSamples {
		return 1, false
	}
	return math.Exp(o.logarithms / o.samples), true
}

// noteTime learns from a run that ended as done, unless it was slowed or resumed.
func (e *Engine) noteTime(r *run) {
	step := r.task.Stage.Step
	if step.EstimateMs == 0 || step.Standing || r.startedAt == 0 || r.pacedAt != 0 || r.task.Checkpoint != "" {
		return
	}
	declared, taken := estimate(r.task.Stage), e.now-r.startedAt
	job := r.task.Stage.Job
	if e.learned.queues[job.Queue] == nil {
		e.learned.queues[job.Queue] = &timeFit{}
	}
	e.learned.queues[job.Queue].note(declared, taken)
	if e.learned.jobs[job] == nil {
		e.learned.jobs[job] = &ownTimes{}
	}
	e.learned.jobs[job].note(declared, taken)
}

// timeFactor is how many times as long as declared the tasks of a stage, and those that
// follow it, are expected to take: by the job's own runs, else by those of its queue.
func (e *Engine) timeFactor(s *graph.Stage) float64 {
	if !e.on(EstimateDurations) || s.Step.EstimateMs == 0 {
		return 1
	}
	if own, known := e.learned.jobs[s.Job].factor(); known {
		return own
	}
	return e.learned.queues[s.Job.Queue].factor(estimate(s))
}

func estimate(s *graph.Stage) time.Duration {
	return time.Duration(s.Step.EstimateMs) * time.Millisecond
}
