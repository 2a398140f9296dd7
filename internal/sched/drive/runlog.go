// This file defines the log lines that list many runs.

package drive

import (
	"fmt"
	"strings"
)

const (
	// maxRunsListed limits the runs in one log line. The others are counted.
	maxRunsListed = 40
	// maxStartsListed limits the runs in one line of confirmed starts. Each start is listed:
	// a line that is full is written before the next start.
	maxStartsListed = 200
)

type (
	// runLog collects runs for one log line. The zero value is empty.
	runLog struct {
		text  strings.Builder
		count int
	}

	// runLogs are the lines that are written once per tick.
	runLogs struct{ stops, starts, lateStarts runLog }
)

// add adds a run, with a suffix, unless limit runs are listed already.
func (l *runLog) add(run string, limit int, suffix string) {
	l.count++
	if l.count > limit {
		return
	}
	if l.text.Len() > 0 {
		l.text.WriteByte(' ')
	}
	l.text.WriteString(run)
	l.text.WriteByte('=')
	l.text.WriteString(suffix)
}

// logStop records a stop that is sent.
func (e *Engine) logStop(r *run, reason string) {
	e.logs.stops.add(formatRun(r), maxRunsListed, strings.ReplaceAll(reason, " ", "-"))
}

// logStart records a start that was executed, with how long it took in milliseconds: from the
// commit of the placement to the decision to send it, from there to the call, and the call. The
// run may have ended before the answer.
func (e *Engine) logStart(a *agent, ans Answer) {
	if ans.Verdict != Accepted || ans.CalledAt == 0 {
		return
	}
	if e.logs.starts.count == maxStartsListed {
		e.flushStarts()
	}
	o := ans.Order
	e.logs.starts.add(formatRunOn(o.Run, a), maxStartsListed,
		fmt.Sprintf("%d/%d/%d", o.waited.Milliseconds(), (ans.CalledAt-o.SentAt).Milliseconds(), (ans.ReturnedAt-ans.CalledAt).Milliseconds()))
}

func (e *Engine) flushStarts() {
	if l := &e.logs.starts; l.count > 0 {
		e.options.Logger.Info("starts confirmed", "count", l.count, "runs", l.text.String())
		*l = runLog{}
	}
}

// flushLogs writes the lines of this tick.
func (e *Engine) flushLogs() {
	if l := &e.logs.stops; l.count > 0 {
		e.options.Logger.Info("stops sent", "count", l.count, "runs", l.text.String())
		*l = runLog{}
	}
	e.flushStarts()
	if l := &e.logs.lateStarts; l.count > 0 {
		e.options.Logger.Warn("starts sent late", "count", l.count, "runs", l.text.String())
		*l = runLog{}
	}
}
