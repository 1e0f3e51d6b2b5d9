package scale

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

func TestCheckRejectsOversizedRun(t *testing.T) {
	fits := RunOptions{Ingresses: 20, Real: 1, Backends: 200}
	if err := fits.Check(); err != nil {
		t.Errorf("a small run is rejected: %v", err)
	}
	for want, change := range map[string]func(*RunOptions){
		"MB":        func(o *RunOptions) { o.Ingresses, o.Backends = 10_000, 1_000_000 },
		"clients":   func(o *RunOptions) { o.Real = o.Ingresses },
		"addresses": func(o *RunOptions) { o.Ingresses, o.Backends = maxAgents+1, 0 },
		"processes": func(o *RunOptions) { o.Ingresses, o.Real = 400, 320 },
	} {
		o := fits
		change(&o)
		if err := o.Check(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("the error is %[2]v, want one that mentions %[1]q", want, err)
		}
	}
}

// A delay counts from the publication of a change until an ingress applied that change or a
// later one. Excluded revisions do not count.
func TestConvergenceDelaysCountFromPublication(t *testing.T) {
	r := &run{publishedAt: map[int64]int64{2: 1_000_000, 3: 2_000_000, 4: 9_000_000}, excluded: map[int64]bool{4: true}}
	median, p99, last := r.convergenceDelays([]appliedList{
		{Ingress: 1, Revision: 2, At: 1_100_000}, {Ingress: 1, Revision: 3, At: 2_200_000},
		{Ingress: 2, Revision: 3, At: 2_300_000}, // received both changes at once
		{Ingress: 2, Revision: 4, At: 99_000_000},
	})
	if !almostEqual(last, 1.3) || !almostEqual(p99, 1.3) || !almostEqual(median, 0.3) {
		t.Errorf("median %v, p99 %v, last %v; want 0.3, 1.3 and 1.3", median, p99, last)
	}
}

// requestSample requests a sample from RunControlPlanes, which runs in a goroutine here.
func requestSample(t *testing.T, in io.Writer, samples *json.Decoder) (sample controlPlaneSample) {
	t.Helper()
	if _, err := io.WriteString(in, heapSampleRequest); err != nil {
		t.Fatal(err)
	}
	if err := samples.Decode(&sample); err != nil {
		t.Fatal(err)
	}
	return sample
}

// Control-plane-only ingresses follow discovery, report the lists that they have applied,
// and end at the end of the input.
func TestControlPlanesFollowDiscovery(t *testing.T) {
	d, fleet := newTestDiscovery(t, 50)
	in, requests := io.Pipe()
	replies, out := io.Pipe()
	exited := make(chan error, 1)
	go func() { exited <- RunControlPlanes(t.Context(), in, out) }()
	spec := ControlPlaneSpec{Ingresses: 9, First: 4, Agents: []string{d.agentAddress(4), d.agentAddress(5)}}
	if err := json.NewEncoder(requests).Encode(spec); err != nil {
		t.Fatal(err)
	}
	samples := json.NewDecoder(replies)
	await := func(revision int64) {
		t.Helper()
		applied := map[int]bool{}
		for started := time.Now(); len(applied) < 2; {
			sample := requestSample(t, requests, samples)
			for _, l := range sample.Applied {
				applied[l.Ingress] = applied[l.Ingress] || l.Revision == revision
			}
			if sample.CPUTime <= 0 || sample.Resident <= 0 || sample.Heap <= 0 || time.Since(started) > testTimeout {
				t.Fatalf("after %v the sample is %+v", time.Since(started), sample)
			}
		}
		if !applied[4] || !applied[5] {
			t.Errorf("ingresses %v applied revision %d, want 4 and 5", applied, revision)
		}
	}
	await(1)
	d.publish(fleet.Members[7])
	await(2)
	requests.Close()
	if err := <-exited; err != nil {
		t.Errorf("at the end of the input RunControlPlanes returns %v", err)
	}
}

func TestRunControlPlanesRejectsInvalidSpec(t *testing.T) {
	for _, text := range []string{"", "no json\n", `{"agents":["127.0.0.1:1"],"ingresses":0}` + "\n"} {
		if err := RunControlPlanes(t.Context(), strings.NewReader(text), io.Discard); err == nil {
			t.Errorf("the specification %q is accepted", text)
		}
	}
}

// startReplyServer starts a server that sends the same reply to each command. With an empty
// reply it closes the connection instead.
func startReplyServer(t *testing.T, answer string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				lines := bufio.NewReader(connection)
				for {
					line, err := lines.ReadString('\n')
					if err != nil || answer == "" {
						return
					}
					if line == "$5\r\n" || line == "$4\r\n" {
						continue
					}
					// The last line of a command is its body. A command of the class view has
					// none and ends with its parameters.
					if strings.HasPrefix(line, "BODY") || strings.Contains(line, "c=view") {
						io.WriteString(connection, answer)
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func TestLoadGeneratorCountsOutcomes(t *testing.T) {
	for answer, count := range map[string]func(LoadResult) int64{
		"$5\r\nvalue\r\n": func(r LoadResult) int64 { return r.Served },
		"-BUSY 20\r\n":    func(r LoadResult) int64 { return r.Refused },
		"-ERR failed\r\n": func(r LoadResult) int64 { return r.Failed },
		"":                func(r LoadResult) int64 { return r.Unanswered },
	} {
		generator := newLoadGenerator(loadOptions{address: startReplyServer(t, answer), rate: 1000, duration: 50 * time.Millisecond, seed: 3})
		generator.run(t.Context())
		result, _ := generator.takeResult()
		if again, _ := generator.takeResult(); again != (LoadResult{}) {
			t.Errorf("the second takeResult returns %+v, want no counts", again)
		}
		if result.Sent != 50 || count(result) != 50 {
			t.Errorf("with the reply %q: %+v, want 50 of 50", answer, result)
		}
	}
}

// sendPing sends a command on a connection to a backend and waits for the first line of the
// reply.
func sendPing(connection net.Conn) error {
	connection.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(connection, "*1\r\n$4\r\nPING\r\n"); err != nil {
		return err
	}
	_, err := bufio.NewReader(connection).ReadString('\n')
	return err
}

// pingStoppedBackend opens a connection to a stopped backend and sends a command. replyErr is
// the error of the command. A reset that arrives before the dial returns is returned as
// replyErr too; dialErr is any other error of the dial.
func pingStoppedBackend(dialer *net.Dialer, address string) (replyErr, dialErr error) {
	connection, err := dialer.Dial("tcp", address)
	if errors.Is(err, syscall.ECONNRESET) {
		return err, nil
	}
	if err != nil {
		return nil, err
	}
	defer connection.Close()
	return sendPing(connection), nil
}

// Stopping a backend resets its connections and those opened afterwards; other backends are
// not affected.
func TestStoppedBackendResetsConnections(t *testing.T) {
	b, err := startBackendStub()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.close)
	dial := func(number int) net.Conn {
		connection, err := net.Dial("tcp", backendAddress(number, b.port))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { connection.Close() })
		return connection
	}
	stopped, running := dial(1), dial(2)
	if err1, err2 := sendPing(stopped), sendPing(running); err1 != nil || err2 != nil {
		t.Fatalf("running backends: %v, %v", err1, err2)
	}
	b.setDown(true, backendAddress(1, b.port))
	if sendPing(stopped) == nil {
		t.Error("a stopped backend replies on an open connection")
	}
	replyErr, dialErr := pingStoppedBackend(&net.Dialer{}, backendAddress(1, b.port))
	if dialErr != nil {
		t.Fatal(dialErr)
	}
	if replyErr == nil {
		t.Error("a stopped backend replies on a new connection")
	}
	if err := sendPing(running); err != nil {
		t.Errorf("another backend: %v", err)
	}
	b.setDown(false, backendAddress(1, b.port))
	if err := sendPing(dial(1)); err != nil {
		t.Errorf("a restarted backend: %v", err)
	}
}

// connectAndAwaitReset is the Control function of a net.Dialer. It connects the socket itself
// and waits until the peer has reset the connection, so the dial finds the reset when it
// connects.
func connectAndAwaitReset(_, address string, raw syscall.RawConn) error {
	peer, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	var resetErr error
	err = raw.Control(func(descriptor uintptr) {
		err := unix.Connect(int(descriptor), &unix.SockaddrInet4{Port: int(peer.Port()), Addr: peer.Addr().As4()})
		if err != unix.EINPROGRESS {
			resetErr = fmt.Errorf("connect returns %v, want %v", err, unix.EINPROGRESS)
			return
		}
		resetErr = awaitHangup(int(descriptor))
	})
	return errors.Join(err, resetErr)
}

// awaitHangup waits until the peer has closed or reset the connection of a socket.
func awaitHangup(descriptor int) error {
	sockets := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
	for {
		ready, err := unix.Poll(sockets, int(testTimeout.Milliseconds()))
		switch {
		case err == unix.EINTR:
		case err != nil:
			return err
		case ready == 0:
			return errors.New("the peer has not closed the connection before the timeout")
		default:
			return nil
		}
	}
}

// The reset of a stopped backend may arrive before the dial returns. It is then the error of
// the dial, and pingStoppedBackend returns it like a reset that arrives later.
func TestResetDuringDialIsResetOfStoppedBackend(t *testing.T) {
	b, err := startBackendStub()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.close)
	address := backendAddress(1, b.port)
	b.setDown(true, address)
	replyErr, dialErr := pingStoppedBackend(&net.Dialer{Control: connectAndAwaitReset}, address)
	if dialErr != nil {
		t.Fatalf("the reset is returned as an error of the dial: %v", dialErr)
	}
	var operation *net.OpError
	if !errors.As(replyErr, &operation) || operation.Op != "dial" || !errors.Is(replyErr, syscall.ECONNRESET) {
		t.Errorf("the error is %v, want a reset during the dial", replyErr)
	}
}

// An error of the dial other than a reset is returned as dialErr.
func TestDialErrorIsNotResetOfStoppedBackend(t *testing.T) {
	for _, want := range []error{syscall.ECONNREFUSED, syscall.ECONNABORTED, syscall.ETIMEDOUT, syscall.EPIPE} {
		fail := func(_, _ string, _ syscall.RawConn) error { return want }
		replyErr, dialErr := pingStoppedBackend(&net.Dialer{Control: fail}, "127.0.0.1:0")
		if replyErr != nil || !errors.Is(dialErr, want) {
			t.Errorf("the error of the command is %v, that of the dial %v; want %v from the dial", replyErr, dialErr, want)
		}
	}
}

func TestFiguresOverBudgetAreMarked(t *testing.T) {
	r := RunResult{Figures: []Figure{{"fine", 1, "ms", &BudgetLatency}, {"free", 99, "ms", nil}}}
	if r.OverBudget() || strings.Contains(r.Markdown(), "over budget") {
		t.Error("figures within their budgets are marked")
	}
	r.Figures = append(r.Figures, Figure{"slow", 8, "ms", &BudgetLatency})
	if !r.OverBudget() || !strings.Contains(r.Markdown(), "| slow | 8 | ms | 7.7 | **over budget** |") {
		t.Errorf("the figure over its budget is not marked:\n%s", r.Markdown())
	}
}
