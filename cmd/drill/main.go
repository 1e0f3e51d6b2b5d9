// Command drill connects package choice to the simulator. It reads batches of events from
// standard input, passes each event to the instance that it names, and writes one reply for each
// batch to standard output. The protocol is described in package wire.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"time"

	"cedarseam/choice"
	"cedarseam/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

// An instance is a gateway together with its choice.Actions, which append to the reply.
type instance struct {
	*choice.Gateway
	number        uint32
	mustSubscribe bool // discovery sends changes of the backend list only to subscribers
	reply         *wire.Reply
}

func (inst *instance) Send(id, backend uint32, timeout time.Duration) {
	inst.reply.Send(inst.number, id, backend, timeout)
}
func (inst *instance) Refuse(id uint32, retryAfter time.Duration, _ choice.Reason) {
	inst.reply.Refuse(inst.number, id, retryAfter)
}
func (inst *instance) Fail(id uint32, _ choice.Reason) { inst.reply.Fail(inst.number, id) }
func (inst *instance) Cancel(id uint32, attempt int)   { inst.reply.Cancel(inst.number, id, attempt) }
func (inst *instance) Probe(backend uint32)            { inst.reply.Probe(inst.number, backend) }
func (inst *instance) SetTimer(delay time.Duration, token uint64) {
	inst.reply.SetTimer(inst.number, delay, token)
}

// run processes batches until the end of input.
func run(in io.Reader, out io.Writer) error {
	var (
		batch     wire.Batch
		reply     wire.Reply
		event     wire.Event
		lists     [16][]choice.Backend
		instances = map[uint32]*instance{}
		reader    = bufio.NewReaderSize(in, 1<<16)
		writer    = bufio.NewWriterSize(out, 1<<16)
	)
	for {
		if err := batch.ReadBatch(reader); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
		reply.Reset()
		for i := range batch.Count {
			if err := batch.DecodeEvent(i, &event); err != nil {
				return err
			}
			switch event.Code {
			case wire.EventList:
				lists[event.ListIndex] = append(lists[event.ListIndex][:0], event.Backends...)
				continue
			case wire.EventInit:
				started, err := startInstance(&batch, &event, &reply)
				if err != nil {
					return fmt.Errorf("batch %d, record %d: instance %d: %w", batch.Seq, i, event.Instance, err)
				}
				instances[event.Instance] = started
				continue
			}
			target, ok := instances[event.Instance]
			if !ok {
				return fmt.Errorf("batch %d, record %d: instance %d is unknown", batch.Seq, i, event.Instance)
			}
			if event.Code == wire.EventStop {
				delete(instances, event.Instance)
				continue
			}
			if event.Code == wire.EventMembers && event.ListKind != choice.Failed && event.ListIndex > 15 {
				return fmt.Errorf("batch %d, record %d: list index %d is above 15", batch.Seq, i, event.ListIndex)
			}
			dispatch(target, batch.Now, &event, &lists)
		}
		if err := reply.Write(writer, batch.Seq); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return fmt.Errorf("reply to batch %d: %w", batch.Seq, err)
		}
	}
}

// startInstance creates the instance of an init event and subscribes to discovery if needed.
func startInstance(batch *wire.Batch, event *wire.Event, reply *wire.Reply) (*instance, error) {
	cfg, mustSubscribe, err := wire.ParseConfig(event.Config)
	if err != nil {
		return nil, err
	}
	started := &instance{number: event.Instance, mustSubscribe: mustSubscribe, reply: reply}
	if started.Gateway, err = choice.New(cfg, event.Seed, batch.Now, started); err != nil {
		return nil, err
	}
	if mustSubscribe {
		reply.Subscribe(started.number)
	}
	return started, nil
}

// dispatch passes one event to its instance. A panic of the instance is recovered and reported
// to the simulator as a fault, so that other instances continue.
func dispatch(target *instance, now time.Duration, event *wire.Event, lists *[16][]choice.Backend) {
	defer func() {
		if cause := recover(); cause != nil {
			target.reply.Fault(target.number, fmt.Sprint(cause))
		}
	}()
	switch event.Code {
	case wire.EventMembers:
		var list []choice.Backend
		if event.ListKind != choice.Failed {
			list = lists[event.ListIndex]
		} else if target.mustSubscribe {
			target.reply.Subscribe(target.number)
		}
		target.UpdateBackends(now, event.ListKind, list)
	case wire.EventRequest:
		target.Request(now, event.Request)
	case wire.EventOutcome:
		target.Outcome(now, event.Outcome)
	case wire.EventProbed:
		target.ProbeResult(now, event.Probe)
	case wire.EventGone:
		target.ClientDisconnected(now, event.ID)
	case wire.EventTimer:
		target.TimerExpired(now, event.Token)
	}
}
