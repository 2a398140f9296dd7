// This file defines linearizable reads on followers.

package ctrl

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"sycamoredeck.example/internal/schema/wire"
)

// readIndexTimeout is the time limit for the leader's answer to one request for a read
// index.
const readIndexTimeout = 500 * time.Millisecond

type (
	// readIndexer requests read indices from the leader, one request at a time for all
	// reads that wait. So the leader's load doesn't grow with the number of reads.
	readIndexer struct {
		// fetch requests one read index.
		fetch func() (uint64, error)

		mu       sync.Mutex
		fetching bool
		next     *indexBatch // waits for the request in flight to end; may be nil
	}

	// indexBatch are the reads that use the same read index.
	indexBatch struct {
		done  chan struct{}
		index uint64
		err   error
	}
)

// get returns a read index that was requested after the call began.
func (r *readIndexer) get(ctx context.Context) (uint64, error) {
	batch := r.join()
	select {
	case <-batch.done:
		return batch.index, batch.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// join returns the batch of the next request: one in flight may miss what was committed
// since it was sent.
func (r *readIndexer) join() *indexBatch {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = &indexBatch{done: make(chan struct{})}
	}
	if !r.fetching {
		r.fetching = true
		go r.run()
	}
	return r.next
}

// run requests read indices until no read waits.
func (r *readIndexer) run() {
	for {
		r.mu.Lock()
		batch := r.next
		r.next = nil
		r.fetching = batch != nil
		r.mu.Unlock()
		if batch == nil {
			return
		}
		batch.index, batch.err = r.fetch()
		close(batch.done)
	}
}

// fetchReadIndex requests a read index from the leader.
func (c *Control) fetchReadIndex() (uint64, error) {
	leader := c.view.Load().leader
	if leader == "" {
		return 0, status.Error(codes.Unavailable, notExecuted+"no control leader is known")
	}
	conn, err := c.pool.Conn(leader)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), readIndexTimeout)
	defer cancel()
	response, err := wire.NewPeerServiceClient(conn).ReadIndex(ctx, &wire.ReadIndexRequest{})
	return response.GetIndex(), err
}

// ReadIndex returns the index of the last log entry that this leader has applied. It has
// acknowledged nothing beyond.
func (s *peerService) ReadIndex(ctx context.Context, _ *wire.ReadIndexRequest) (*wire.ReadIndexResponse, error) {
	work := &workService{Control: s.Control}
	if err := work.checkReady(); err != nil {
		return nil, err
	}
	response := &wire.ReadIndexResponse{}
	err := work.read(ctx, func() { response.Index = s.node.AppliedIndex() })
	if err != nil {
		return nil, err
	}
	return response, nil
}

// readAnywhere runs f on the event loop as a linearizable read, on the leader or on a
// follower that can reach it.
func (s *workService) readAnywhere(ctx context.Context, f func()) error {
	if err := s.checkStarted(); err != nil {
		return err
	}
	if s.view.Load().isLeader {
		if err := s.checkReady(); err != nil {
			return err
		}
		return s.read(ctx, f)
	}
	index, err := s.readIndex.get(ctx)
	if err != nil {
		// A read has no effect, so any failure leaves it not executed.
		return status.Error(codes.Unavailable, notExecuted+"the leader gives no read index: "+status.Convert(err).Message())
	}
	return statusError(s.node.ReadApplied(ctx, index, f))
}
