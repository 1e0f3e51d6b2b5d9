package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"cedarseam/internal/ingress"
)

// HollowSpec tells a process which ingresses it runs: each follows discovery and
// keeps the gateway's state, without clients.
type HollowSpec struct {
	Ingresses int      `json:"ingresses"` // of the whole tier
	First     int      `json:"first"`     // number of the first one here
	Agents    []string `json:"agents"`    // where each one's discovery is
}

// hollowSample is what such a process answers to each line that it reads.
type hollowSample struct {
	Processor time.Duration `json:"processor"` // used so far
	Resident  int64         `json:"resident"`  // bytes in memory
	Heap      int64         `json:"heap"`      // bytes of it in use, if that was asked for
	Applied   []appliedList `json:"applied"`   // since the last sample
}

// appliedList tells when an ingress had a list in force.
type appliedList struct {
	Ingress  int   `json:"i"`
	Revision int64 `json:"r"`
	At       int64 `json:"at"` // Unix time in microseconds
}

// hollowGarbage is the share of garbage, in percent of what is in use, that such
// a process may hold: many ingresses share the machine.
const hollowGarbage = 30

// The questions that such a process answers with a sample, each on a line.
const (
	askSample = "sample\n"
	askHeap   = "heap\n" // the same, after a collection
)

// RunHollow runs the ingresses of the specification that stands on the first
// line of the input. It answers every further line with a sample, and ends with
// the input.
func RunHollow(ctx context.Context, in io.Reader, out io.Writer) error {
	debug.SetGCPercent(hollowGarbage)
	lines := bufio.NewReader(in)
	first, err := lines.ReadBytes('\n')
	if err != nil {
		return fmt.Errorf("hollow: specification: %w", err)
	}
	var spec HollowSpec
	if err := json.Unmarshal(first, &spec); err != nil {
		return fmt.Errorf("hollow: specification: %w", err)
	}
	ctx, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	log := &appliedLog{}
	for i, agent := range spec.Agents {
		number := spec.First + i
		cfg, err := controlConfig(spec.Ingresses, number)
		if err != nil {
			return err
		}
		cfg.Discovery = agent
		control, err := ingress.NewControl(cfg, func(revision int64) { log.add(number, revision) })
		if err != nil {
			return err
		}
		running.Go(func() { control.Run(ctx) })
	}
	samples := json.NewEncoder(out)
	for {
		question, err := lines.ReadString('\n')
		if errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		sample, err := takeSample(log, question == askHeap)
		if err != nil {
			return err
		}
		if err := samples.Encode(sample); err != nil {
			return err
		}
	}
}

func takeSample(log *appliedLog, collect bool) (hollowSample, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return hollowSample{}, err
	}
	used := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	resident, err := residentMemory(os.Getpid())
	if err != nil {
		return hollowSample{}, err
	}
	sample := hollowSample{Processor: used, Resident: resident, Applied: log.take()}
	if collect {
		sample.Heap = heap()
	}
	return sample, nil
}

// appliedLog keeps which lists were in force when.
type appliedLog struct {
	mu    sync.Mutex
	lists []appliedList
	last  map[int]int64 // revision by ingress
}

// add notes a list, unless its revision is in force already.
func (l *appliedLog) add(ingress int, revision int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last == nil {
		l.last = map[int]int64{}
	}
	if l.last[ingress] != revision {
		l.last[ingress] = revision
		l.lists = append(l.lists, appliedList{ingress, revision, time.Now().UnixMicro()})
	}
}

func (l *appliedLog) take() []appliedList {
	l.mu.Lock()
	defer l.mu.Unlock()
	lists := l.lists
	l.lists = nil
	return lists
}

// hollow is such a process, seen from the one that started it.
type hollow struct {
	command *exec.Cmd
	in      io.WriteCloser
	samples *json.Decoder
}

// startHollow starts a process of the program given, which is this one.
func startHollow(ctx context.Context, program string, spec HollowSpec) (*hollow, error) {
	h := &hollow{command: exec.CommandContext(ctx, program, "--logs", "error", "hollow")}
	h.command.Stderr = os.Stderr
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var err error
	if h.in, err = h.command.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := h.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	h.samples = json.NewDecoder(out)
	if err := h.command.Start(); err != nil {
		return nil, err
	}
	if err := json.NewEncoder(h.in).Encode(spec); err != nil {
		h.stop()
		return nil, err
	}
	return h, nil
}

func (h *hollow) sample(question string) (hollowSample, error) {
	var sample hollowSample
	if _, err := io.WriteString(h.in, question); err != nil {
		return sample, fmt.Errorf("process of ingresses: %w", err)
	}
	if err := h.samples.Decode(&sample); err != nil {
		return sample, fmt.Errorf("process of ingresses: %w", err)
	}
	return sample, nil
}

// stop ends the process, by force if it must.
func (h *hollow) stop() {
	h.in.Close()
	forced := time.AfterFunc(endWithin, func() { h.command.Process.Kill() })
	defer forced.Stop()
	h.command.Wait()
}
