// This file defines AsyncWriter, through which log lines are written.

package admin

import (
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// queueCapacity is the maximum number of queued log lines. It covers about one second
// of a busy control replica, in at most 2 MB.
const queueCapacity = 4096

// maxBatchBytes limits the size of a write.
const maxBatchBytes = 64 << 10

var linesDropped = metrics.NewCounter("sycamoredeck_log_lines_dropped_total")

// AsyncWriter writes log lines to another writer without blocking the caller, since a
// reader that stops reading the process's output must not stall request handling or
// event loops. Lines that don't fit into the queue are counted and dropped.
type AsyncWriter struct {
	out     io.Writer
	queue   chan []byte
	done    chan struct{}
	closing sync.Once
}

var _ io.Writer = (*AsyncWriter)(nil)

// NewAsyncWriter returns a writer to out and starts its goroutine.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, queue: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line. It never returns an error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	data := append([]byte(nil), line...)
	select {
	case w.queue <- data:
	default:
		linesDropped.Inc()
	}
	return len(line), nil
}

// Close flushes the queue. Lines written afterwards are lost.
func (w *AsyncWriter) Close() {
	w.closing.Do(func() { w.queue <- nil })
	<-w.done
}

// run writes queued lines in batches, to save system calls.
func (w *AsyncWriter) run() {
	defer close(w.done)
	var batch []byte
	for ln := range w.queue {
		batch = append(batch[:0], ln...)
		last := ln == nil
		for !last && len(batch) < maxBatchBytes && len(w.queue) > 0 {
			next := <-w.queue
			batch = append(batch, next...)
			last = next == nil
		}
		// A failure to write logs can't be reported anywhere.
		_, _ = w.out.Write(batch)
		if last {
			return
		}
	}
}
