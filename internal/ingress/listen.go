package ingress

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	listenWithin = 3 * time.Second // for what fails for a moment: an ingress has to be ready within 10 s
	listenRetry  = 20 * time.Millisecond
)

// momentary are the errors of the system that pass by themselves.
var momentary = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}

// listen opens an address, and tries again for some time where the system fails
// for a moment.
func listen(config net.ListenConfig, address string, within time.Duration) (net.Listener, error) {
	config.SetMultipathTCP(false) // the system is asked for the state of TCP connections
	for end := time.Now().Add(within); ; time.Sleep(listenRetry) {
		ln, err := config.Listen(context.Background(), "tcp", address)
		if err == nil || !isMomentary(err) || time.Now().After(end) {
			return ln, err
		}
	}
}

func isMomentary(err error) bool {
	for _, passes := range momentary {
		if errors.Is(err, passes) {
			return true
		}
	}
	return false
}
