package main

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"testing"
	"time"
)

// Environment variables of the test binary. runMainVariable makes it run the program instead of
// the tests, and socketLimitVariable sets the limit on open file descriptors of that program.
const (
	runMainVariable     = "CEDARSEAM_TEST_AS_PROGRAM"
	socketLimitVariable = "CEDARSEAM_TEST_SOCKETS"
)

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		if n, err := strconv.ParseUint(os.Getenv(socketLimitVariable), 10, 64); err == nil {
			if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n}); err != nil {
				panic(err)
			}
		}
		main()
		return
	}
	os.Exit(m.Run())
}

// reloadConfigFormat is a configuration; its argument is the address of discovery.
const reloadConfigFormat = `{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"1","limits":{"cores":1,"memory_mb":192,"sockets":1024},
 "settings":{"balancers":1,"bounds":{"try_limit":4},
  "request_classes":[{"name":"lookup","aim_ms":600,"give_up_ms":1000,"effect":"free","worth":2}],
  "tiers_of_service":[{"name":"basic","quota_rate":10,"burst":10,"price":1}]}}`

// startDiscovery starts a discovery server with an empty list of backends. Each request for the
// list, but not for the stream of changes, is reported on listRequests.
func startDiscovery(t *testing.T) (addr string, listRequests chan struct{}) {
	listRequests = make(chan struct{}, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(w, `{"revision":1,"complete":true,"members":[]}`)
		if r.URL.Query().Get("stream") == "" {
			listRequests <- struct{}{}
		}
	}))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return server.Listener.Addr().String(), listRequests
}

// writeConfig replaces the configuration file atomically.
func writeConfig(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

// SIGHUP must reload the configuration, with a change of the discovery address, instead of ending
// the program, and an invalid configuration must leave the previous one in force. SIGTERM must
// end the program without an error.
func TestReloadAndTermination(t *testing.T) {
	first, firstRequests := startDiscovery(t)
	second, secondRequests := startDiscovery(t)
	p := startProgram(t, fmt.Sprintf(reloadConfigFormat, first))
	waitForListRequest := func(what string, listRequests chan struct{}) {
		t.Helper()
		select {
		case <-listRequests:
		case <-time.After(waitTimeout):
			t.Fatalf("no list request received after %s", what)
		}
	}
	waitForListRequest("start", firstRequests)
	writeConfig(t, p.configPath, "{")
	p.sendSignal(syscall.SIGHUP)
	p.waitForLogLine("configuration reload failed, keeping the previous configuration")
	for range 3 {
		writeConfig(t, p.configPath, fmt.Sprintf(reloadConfigFormat, second))
		p.sendSignal(syscall.SIGHUP)
		waitForListRequest("switch to the second discovery", secondRequests)
		// The previous address is in force until this line is logged. Switching back to it before
		// then would change nothing.
		p.waitForLogLine("state=following", second)
		writeConfig(t, p.configPath, fmt.Sprintf(reloadConfigFormat, first))
		p.sendSignal(syscall.SIGHUP)
		waitForListRequest("switch back to the first discovery", firstRequests)
		p.waitForLogLine("state=following", first)
	}
	p.sendSignal(syscall.SIGTERM)
	p.expectCleanExit()
}

func TestMissingConfigurationFails(t *testing.T) {
	cmd := exec.CommandContext(t.Context(), os.Args[0])
	cmd.Env = append(os.Environ(), runMainVariable+"=1", "NODE_CONFIG=")
	var exit *exec.ExitError
	if err := cmd.Run(); !errors.As(err, &exit) || exit.ExitCode() != 1 {
		t.Errorf("program ended with %v, want exit code 1", err)
	}
}
