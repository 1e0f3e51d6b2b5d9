package ingress

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

// failing makes the first calls fail with an error of the system.
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

// A socket that can't be had for a moment does not end the process.
func TestListenRetriesTransientErrors(t *testing.T) {
	for _, err := range transientErrors {
		config, calls := failingListenConfig(2, err)
		ln, got := listen(config, "127.0.0.1:0", patience)
		if got != nil || *calls != 3 {
			t.Errorf("%v: after %d calls it ends with %v", err, *calls, got)
			continue
		}
		ln.Close()
	}
}

func TestListenReturnsPermanentErrorsAndTimesOut(t *testing.T) {
	config, calls := failingListenConfig(2, syscall.EACCES)
	if _, err := listen(config, "127.0.0.1:0", patience); !errors.Is(err, syscall.EACCES) || *calls != 1 {
		t.Errorf("an error that lasts: %d calls, %v", *calls, err)
	}
	config, _ = failingListenConfig(1<<30, syscall.ENFILE)
	if _, err := listen(config, "127.0.0.1:0", time.Millisecond); !errors.Is(err, syscall.ENFILE) {
		t.Errorf("with no time left it ends with %v", err)
	}
}
