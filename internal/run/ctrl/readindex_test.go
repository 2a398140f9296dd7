// This file defines tests of how read indices are requested.

package ctrl

import (
	"testing"

	"gotest.tools/v3/assert"
)

// fakeLeader answers each request for a read index with its number, once it is released.
type fakeLeader struct {
	requested, release chan struct{}
	requests           uint64
}

func (l *fakeLeader) fetch() (uint64, error) {
	l.requests++
	number := l.requests
	l.requested <- struct{}{}
	<-l.release
	return number, nil
}

// answer answers the next request and checks the index that a batch gets.
func (l *fakeLeader) answer(t *testing.T, b *indexBatch, want uint64) {
	t.Helper()
	l.release <- struct{}{}
	<-b.done
	assert.NilError(t, b.err)
	assert.Equal(t, b.index, want)
}

// Guards against a read on a follower that misses what was acknowledged before it, since it used an
// index that was requested earlier, and against one request for each read.
func TestReadsShareTheNextReadIndex(t *testing.T) {
	leader := &fakeLeader{requested: make(chan struct{}), release: make(chan struct{})}
	r := &readIndexer{fetch: leader.fetch}
	first := r.join()
	<-leader.requested
	second, third := r.join(), r.join()
	assert.Assert(t, second != first, "a read uses an index that was requested before it")
	assert.Assert(t, second == third, "reads that wait at the same time don't share a request")
	leader.answer(t, first, 1)
	<-leader.requested
	leader.answer(t, second, 2)
}
