package ingress

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

// failingListenConfig returns a configuration with which the first calls fail with a
// system error, and the number of calls so far.
func failingListenConfig(times int, failure error) (config net.ListenConfig, calls *int) {
	calls = new(int)
	config.Control = func(string, string, syscall.RawConn) error {
		if *calls++; *calls <= times {
			return failure
		}
		return nil
	}
	return config, calls
}

// A temporary shortage of a system resource must not end the process at its start.
func TestListenRetriesTransientErrors(t *testing.T) {
	for _, err := range transientErrors {
		config, calls := failingListenConfig(2, err)
		ln, got := listen(config, "127.0.0.1:0", testTimeout)
		if got != nil || *calls != 3 {
			t.Errorf("%v: listen returned after %d calls with %v, want success after 3", err, *calls, got)
			continue
		}
		ln.Close()
	}
}

func TestListenReturnsPermanentErrorsAndTimesOut(t *testing.T) {
	config, calls := failingListenConfig(2, syscall.EACCES)
	if _, err := listen(config, "127.0.0.1:0", testTimeout); !errors.Is(err, syscall.EACCES) || *calls != 1 {
		t.Errorf("a permanent error: %d calls, %v; want 1 call and EACCES", *calls, err)
	}
	config, _ = failingListenConfig(1<<30, syscall.ENFILE)
	if _, err := listen(config, "127.0.0.1:0", time.Millisecond); !errors.Is(err, syscall.ENFILE) {
		t.Errorf("after the timeout listen returned %v, want ENFILE", err)
	}
}
