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

// ControlPlaneSpec tells a process which ingresses it runs: each follows discovery and
// keeps the gateway's state, without clients.
type ControlPlaneSpec struct {
	Ingresses int      `json:"ingresses"` // of the whole tier
	First     int      `json:"first"`     // number of the first one here
	Agents    []string `json:"agents"`    // where each one's discovery is
}

// controlPlaneSample is what such a process answers to each line that it reads.
type controlPlaneSample struct {
	CPUTime  time.Duration `json:"processor"` // used so far
	Resident int64         `json:"resident"`  // bytes in memory
	Heap     int64         `json:"heap"`      // bytes of it in use, if that was asked for
	Applied  []appliedList `json:"applied"`   // since the last sample
}

// appliedList tells when an ingress had a list in force.
type appliedList struct {
	Ingress  int   `json:"i"`
	Revision int64 `json:"r"`
	At       int64 `json:"at"` // Unix time in microseconds
}

// controlPlaneGCPercent is the share of garbage, in percent of what is in use, that such
// a process may hold: many ingresses share the machine.
const controlPlaneGCPercent = 30

// The questions that such a process answers with a sample, each on a line.
const (
	sampleRequest     = "sample\n"
	heapSampleRequest = "heap\n" // the same, after a collection
)

// RunControlPlanes runs the ingresses of the specification that stands on the first
// line of the input. It answers every further line with a sample, and ends with
// the input.
func RunControlPlanes(ctx context.Context, in io.Reader, out io.Writer) error {
	debug.SetGCPercent(controlPlaneGCPercent)
	lines := bufio.NewReader(in)
	specLine, err := lines.ReadBytes('\n')
	if err != nil {
		return fmt.Errorf("hollow: specification: %w", err)
	}
	var spec ControlPlaneSpec
	if err := json.Unmarshal(specLine, &spec); err != nil {
		return fmt.Errorf("hollow: specification: %w", err)
	}
	ctx, stop := context.WithCancel(ctx)
	var workers sync.WaitGroup
	defer workers.Wait()
	defer stop()
	log := &appliedLog{}
	for i, agent := range spec.Agents {
		number := spec.First + i
		config, err := controlPlaneConfig(spec.Ingresses, number)
		if err != nil {
			return err
		}
		config.Discovery = agent
		control, err := ingress.NewControl(config, func(revision int64) { log.add(number, revision) })
		if err != nil {
			return err
		}
		workers.Go(func() { control.Run(ctx) })
	}
	encoder := json.NewEncoder(out)
	for {
		request, err := lines.ReadString('\n')
		if errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		sample, err := takeSample(log, request == heapSampleRequest)
		if err != nil {
			return err
		}
		if err := encoder.Encode(sample); err != nil {
			return err
		}
	}
}

func takeSample(log *appliedLog, collectGarbage bool) (controlPlaneSample, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return controlPlaneSample{}, err
	}
	cpuTime := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	resident, err := residentMemory(os.Getpid())
	if err != nil {
		return controlPlaneSample{}, err
	}
	sample := controlPlaneSample{CPUTime: cpuTime, Resident: resident, Applied: log.take()}
	if collectGarbage {
		sample.Heap = heapInUse()
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

// controlPlaneProcess is such a process, seen from the one that started it.
type controlPlaneProcess struct {
	command *exec.Cmd
	in      io.WriteCloser
	samples *json.Decoder
}

// startControlPlaneProcess starts a process of the program given, which is this one.
func startControlPlaneProcess(ctx context.Context, program string, spec ControlPlaneSpec) (*controlPlaneProcess, error) {
	process := &controlPlaneProcess{command: exec.CommandContext(ctx, program, "--logs", "error", "hollow")}
	process.command.Stderr = os.Stderr
	process.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var err error
	if process.in, err = process.command.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := process.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	process.samples = json.NewDecoder(out)
	if err := process.command.Start(); err != nil {
		return nil, err
	}
	if err := json.NewEncoder(process.in).Encode(spec); err != nil {
		process.stop()
		return nil, err
	}
	return process, nil
}

func (p *controlPlaneProcess) sample(request string) (controlPlaneSample, error) {
	var sample controlPlaneSample
	if _, err := io.WriteString(p.in, request); err != nil {
		return sample, fmt.Errorf("process of ingresses: %w", err)
	}
	if err := p.samples.Decode(&sample); err != nil {
		return sample, fmt.Errorf("process of ingresses: %w", err)
	}
	return sample, nil
}

// stop ends the process, by force if it must.
func (p *controlPlaneProcess) stop() {
	p.in.Close()
	killTimer := time.AfterFunc(stopTimeout, func() { p.command.Process.Kill() })
	defer killTimer.Stop()
	p.command.Wait()
}
