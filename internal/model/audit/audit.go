// Package audit checks the journals of simulated workers, servers and callers for
// violations of the system's guarantees: a task in two places, a unit of work repeated
// needlessly, a request executed twice, one executed although its caller was told
// otherwise, or work on a cancelled job.
package audit

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"time"

	"sycamoredeck.example/internal/model/front"
)

const (
	// maxLineBytes is the maximum length of a journal line.
	maxLineBytes = 1 << 20
	// CancelLimit is how long a cancelled job may be worked on after the acknowledgement, or
	// after ContactTime without faults.
	CancelLimit = 3900 * time.Millisecond
	// ContactTime is how long the system takes to recover from a fault.
	ContactTime = 3 * time.Second
)

// The kinds of events that callers and tests record about jobs and faults.
const (
	Cancelled = "cancelled" // a cancellation was acknowledged
	Fault     = "fault"     // a fault was injected, or has ended
)

type (
	// Findings counts violations and describes the first few.
	Findings struct {
		Tasks, Finished, Requests int
		// Overlaps counts units done by an attempt after a later attempt had started.
		Overlaps int
		// FinishedTwice counts jobs that were finished by more than one attempt.
		FinishedTwice int
		// RunTwice counts non-idempotent requests that were executed more than once.
		RunTwice int
		// NotRunButRan counts executed requests whose callers were told "not run".
		NotRunButRan int
		// UnitsRepeated counts units done by more than one attempt. They are expected
		// when a worker is lost between checkpoints, and a violation when the attempt
		// was stopped by an order.
		UnitsRepeated int
		// WorkAfterCancel counts jobs that were worked on for too long after their cancellation.
		WorkAfterCancel int
		Examples        []string
		lastFault       time.Time
	}

	eventHistory struct {
		events []front.Event
	}
)

// Violations returns the number of violations, without UnitsRepeated.
func (f *Findings) Violations() int {
	return f.Overlaps + f.FinishedTwice + f.RunTwice + f.NotRunButRan + f.WorkAfterCancel
}

// Read reads journal files and sorts the events by time. It skips incomplete lines.
func Read(paths []string) ([]front.Event, error) {
	var events []front.Event
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		scanner := bufio.NewScanner(file)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			var e front.Event
			if json.Unmarshal(scanner.Bytes(), &e) == nil {
				events = append(events, e)
			}
		}
		file.Close()
		if err := scanner.Err(); err != nil {
			return nil, err
		}
	}
	sort.SliceStable(events, func(i, j int) bool { return events[i].At.Before(events[j].At) })
	return events, nil
}

// Check checks events in the order of their times. Once reports whether the request with
// an id must not be executed twice.
func Check(events []front.Event, once func(id string) bool) *Findings {
	f := &Findings{}
	tasks, requests := map[string]*eventHistory{}, map[string]*eventHistory{}
	for _, e := range events {
		group := tasks
		switch {
		case e.Kind == Fault:
			f.lastFault = e.At
			continue
		case e.Attempt == 0 && e.Kind != Cancelled:
			group = requests
		}
		if group[e.ID] == nil {
			group[e.ID] = &eventHistory{}
		}
		group[e.ID].events = append(group[e.ID].events, e)
	}
	f.Tasks, f.Requests = len(tasks), len(requests)
	for id, h := range tasks {
		f.checkJob(id, h)
	}
	for id, h := range requests {
		f.checkRequest(id, h, once(id))
	}
	return f
}

func (f *Findings) checkJob(id string, h *eventHistory) {
	var latest uint32
	finished := map[uint32]bool{}
	done := map[uint64]uint32{}
	var mustStopBy time.Time
	late := false
	for _, e := range h.events {
		if !mustStopBy.IsZero() && e.At.After(mustStopBy) && (e.Kind == "start" || e.Kind == "unit") && !late {
			late = true
			f.WorkAfterCancel++
			f.addExample("job %s: attempt %d on %s goes on %v after it had to stop", id, e.Attempt, e.Source, e.At.Sub(mustStopBy))
		}
		switch e.Kind {
		case Cancelled:
			mustStopBy = e.At
			if calm := f.lastFault.Add(ContactTime); calm.After(mustStopBy) {
				mustStopBy = calm
			}
			mustStopBy = mustStopBy.Add(CancelLimit)
		case "start":
			latest = max(latest, e.Attempt)
		case "unit":
			if e.Attempt < latest {
				f.Overlaps++
				f.addExample("job %s: attempt %d on %s executed unit %d after attempt %d had started", id, e.Attempt, e.Source, e.Unit, latest)
			}
			if by := done[e.Unit]; by != 0 && by != e.Attempt {
				f.UnitsRepeated++
			}
			done[e.Unit] = e.Attempt
		case "finished":
			finished[e.Attempt] = true
		}
	}
	if len(finished) > 0 {
		f.Finished++
	}
	if len(finished) > 1 {
		f.FinishedTwice++
		f.addExample("job %s: finished by %d attempts", id, len(finished))
	}
}

func (f *Findings) checkRequest(id string, h *eventHistory, once bool) {
	runs, notRun := 0, false
	for _, e := range h.events {
		switch e.Kind {
		case "run":
			runs++
		case "not-run":
			notRun = true
		}
	}
	if once && runs > 1 {
		f.RunTwice++
		f.addExample("request %s: ran %d times", id, runs)
	}
	if notRun && runs > 0 {
		f.NotRunButRan++
		f.addExample("request %s: executed, but reported as not run", id)
	}
}

func (f *Findings) addExample(format string, args ...any) {
	if len(f.Examples) < 10 {
		f.Examples = append(f.Examples, fmt.Sprintf(format, args...))
	}
}
