// This file defines the test of port reservations.

package itest

import (
	"net"
	"os/exec"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a process that can't listen on its address, because a process forked at the same
// time still holds the listener with which the port was reserved.
func TestReservedPortsAreFree(t *testing.T) {
	program, err := exec.LookPath("true")
	assert.NilError(t, err)
	done := make(chan struct{})
	var forks sync.WaitGroup
	for range 6 {
		forks.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					if err := exec.Command(program).Run(); err != nil {
						t.Error(err)
						return
					}
				}
			}
		})
	}
	defer forks.Wait()
	defer close(done)
	for range 300 {
		listener, err := net.Listen("tcp", freeAddress(t))
		assert.NilError(t, err)
		listener.Close()
	}
}
