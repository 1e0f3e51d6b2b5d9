package ingress

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// listenTimeout is how long transient errors are retried. An ingress has to be
	// ready within 10 s of its start.
	listenTimeout       = 3 * time.Second
	listenRetryInterval = 20 * time.Millisecond
)

// transientErrors are the system errors that may go away without intervention.
var transientErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
}

// listen opens a TCP listener on an address, and retries transient errors until the
// timeout.
func listen(config net.ListenConfig, address string, timeout time.Duration) (net.Listener, error) {
	config.SetMultipathTCP(false) // tcpInfo needs plain TCP connections
	for deadline := time.Now().Add(timeout); ; time.Sleep(listenRetryInterval) {
		ln, err := config.Listen(context.Background(), "tcp", address)
		if err == nil || !isTransient(err) || time.Now().After(deadline) {
			return ln, err
		}
	}
}

// isTransient reports whether a retry may succeed after the error.
func isTransient(err error) bool {
	for _, transient := range transientErrors {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}
