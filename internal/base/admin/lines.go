// This file defines Lines, the queue that log lines go through.

package admin

import (
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// queuedLines is how many log lines wait for a slow reader: about a second of
// the most that a control replica writes, and at most some 2 MB.
const queuedLines = 4096

// batchBytes bounds what is written at once.
const batchBytes = 64 << 10

var linesDropped = metrics.NewCounter("sycamoredeck_log_lines_dropped_total")

// Lines passes log lines on to a writer without ever blocking. Whoever reads
// the process's output may stop reading; a write would then hold up the request
// or the loop that logs. Lines that find the queue full are counted and lost.
type AsyncWriter struct {
	to      io.Writer
	queue   chan []byte
	done    chan struct{}
	closing sync.Once
}

var _ io.Writer = (*AsyncWriter)(nil)

// NewAsyncWriter starts passing lines on to w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	l := &AsyncWriter{to: w, queue: make(chan []byte, queuedLines), done: make(chan struct{})}
	go l.run()
	return l
}

// Write queues one line. It always reports success.
func (l *AsyncWriter) Write(line []byte) (int, error) {
	held := append([]byte(nil), line...)
	select {
	case l.queue <- held:
	default:
		linesDropped.Inc()
	}
	return len(line), nil
}

// Close writes out what is queued. Lines written after that are lost.
func (l *AsyncWriter) Close() {
	l.closing.Do(func() { l.queue <- nil })
	<-l.done
}

// run writes what has gathered in one go: a write costs more than a line.
func (l *AsyncWriter) run() {
	defer close(l.done)
	var batch []byte
	for line := range l.queue {
		batch = append(batch[:0], line...)
		last := line == nil
		for !last && len(batch) < batchBytes && len(l.queue) > 0 {
			next := <-l.queue
			batch = append(batch, next...)
			last = next == nil
		}
		// There is no place to report that logs can't be written.
		_, _ = l.to.Write(batch)
		if last {
			return
		}
	}
}
