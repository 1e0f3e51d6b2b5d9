package scale

import (
	"context"
	"fmt"
	"net"
	"syscall"
)

const loopbackDevice = "lo"

// listenOnLoopback listens on one port of all addresses in 127.0.0.0/8 and of no others:
// the socket is bound to the loopback device. Port 0 selects a free port.
func listenOnLoopback(port int) (listener net.Listener, chosenPort int, err error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var bindErr error
		err := raw.Control(func(descriptor uintptr) {
			bindErr = syscall.SetsockoptString(int(descriptor), syscall.SOL_SOCKET, syscall.SO_BINDTODEVICE, loopbackDevice)
		})
		if err != nil {
			return err
		}
		return bindErr
	}}
	listener, err = config.Listen(context.Background(), "tcp4", fmt.Sprintf("0.0.0.0:%d", port))
	if err != nil {
		return nil, 0, fmt.Errorf("listen on device %s: %w", loopbackDevice, err)
	}
	return listener, listener.Addr().(*net.TCPAddr).Port, nil
}
