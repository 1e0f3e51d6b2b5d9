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

// ControlPlaneSpec specifies the control-plane-only ingresses that one control plane
// process runs: a child process with the command hollow of this program.
// They follow discovery and keep the gateway's state, but serve no clients.
type ControlPlaneSpec struct {
	Ingresses int      `json:"ingresses"` // in the whole deployment
	First     int      `json:"first"`     // number of the first ingress of the process
	Agents    []string `json:"agents"`    // discovery address of each ingress of the process
}

// controlPlaneSample is the reply of a control plane process to a sample request.
type controlPlaneSample struct {
	CPUTime  time.Duration `json:"processor"` // since the process started
	Resident int64         `json:"resident"`  // bytes of resident memory
	Heap     int64         `json:"heap"`      // bytes in use, 0 if not requested
	Applied  []appliedList `json:"applied"`   // since the last sample
}

// appliedList records when an ingress finished applying a list.
type appliedList struct {
	Ingress  int   `json:"i"`
	Revision int64 `json:"r"`
	At       int64 `json:"at"` // Unix time in microseconds
}

// controlPlaneGCPercent is the garbage collection target (GOGC) of a control plane
// process. It is below the default because many ingresses share the machine's memory.
const controlPlaneGCPercent = 30

// The requests to a control plane process, each of which is answered with a sample.
const (
	sampleRequest     = "sample\n"
	heapSampleRequest = "heap\n" // sample after a garbage collection, with Heap set
)

// RunControlPlanes runs the ingresses of the JSON specification on the first line of in.
// It writes a JSON sample to out for each further line and returns at the end of in.
func RunControlPlanes(ctx context.Context, in io.Reader, out io.Writer) error {
	debug.SetGCPercent(controlPlaneGCPercent)
	lines := bufio.NewReader(in)
	specLine, err := lines.ReadBytes('\n')
	if err != nil {
		return fmt.Errorf("hollow: read specification: %w", err)
	}
	var spec ControlPlaneSpec
	if err := json.Unmarshal(specLine, &spec); err != nil {
		return fmt.Errorf("hollow: decode specification: %w", err)
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
		control, err := ingress.NewControlPlane(config, func(revision int64) { log.add(number, revision) })
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

// takeSample measures this process. If collectGarbage is set, the garbage is collected
// and the memory in use is part of the sample.
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

// appliedLog collects the lists that ingresses have applied since the last take.
type appliedLog struct {
	mu    sync.Mutex
	lists []appliedList
	last  map[int]int64 // last applied revision by ingress
}

// add records that an ingress has applied a revision, unless the ingress applied the
// same revision last.
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

// take returns the collected lists and empties the log.
func (l *appliedLog) take() []appliedList {
	l.mu.Lock()
	defer l.mu.Unlock()
	lists := l.lists
	l.lists = nil
	return lists
}

// controlPlaneProcess is a child process that runs control-plane-only ingresses.
type controlPlaneProcess struct {
	command *exec.Cmd
	in      io.WriteCloser
	samples *json.Decoder
}

// startControlPlaneProcess starts the program, which must be this one, as a control plane
// process.
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

// sample sends a request and returns the sample that answers it.
func (p *controlPlaneProcess) sample(request string) (controlPlaneSample, error) {
	var sample controlPlaneSample
	if _, err := io.WriteString(p.in, request); err != nil {
		return sample, fmt.Errorf("request sample from control plane process: %w", err)
	}
	if err := p.samples.Decode(&sample); err != nil {
		return sample, fmt.Errorf("read sample from control plane process: %w", err)
	}
	return sample, nil
}

// stop closes the standard input of the process, which ends it, and kills the process if
// it has not exited within stopTimeout.
func (p *controlPlaneProcess) stop() {
	p.in.Close()
	killTimer := time.AfterFunc(stopTimeout, func() { p.command.Process.Kill() })
	defer killTimer.Stop()
	p.command.Wait()
}
