package ingress

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	listenTimeout       = 3 * time.Second // for what fails for a moment: an ingress has to be ready within 10 s
	listenRetryInterval = 20 * time.Millisecond
)

// momentary are the errors of the system that pass by themselves.
var transientErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}

// listen opens an address, and tries again for some time where the system fails
// for a moment.
func listen(config net.ListenConfig, address string, timeout time.Duration) (net.Listener, error) {
	config.SetMultipathTCP(false) // the system is asked for the state of TCP connections
	for deadline := time.Now().Add(timeout); ; time.Sleep(listenRetryInterval) {
		ln, err := config.Listen(context.Background(), "tcp", address)
		if err == nil || !isTransient(err) || time.Now().After(deadline) {
			return ln, err
		}
	}
}

func isTransient(err error) bool {
	for _, transient := range transientErrors {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}
