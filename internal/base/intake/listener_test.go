// This file implements a listener whose first connections can't be accepted.

package intake

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
)

var errExhausted = os.NewSyscallError("accept4", syscall.EMFILE)

type failingListener struct {
	net.Listener
	failures atomic.Int64
	last     error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		l.last = errExhausted
		return nil, errExhausted
	}
	return l.Listener.Accept()
}
