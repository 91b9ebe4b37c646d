// Command simulator-adapter hosts the decision module for the operators' simulator. It reads batches of events from
// standard input and writes one reply with actions for each batch to standard output. Each instance of the simulator
// has its own policy.Policy. The program exits when its input ends, or with status 1 at the first error.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"crankhold/internal/simulator"
	"crankhold/policy"
)

// bufferSize is the size in bytes of the input buffer and of the output buffer.
const bufferSize = 1 << 16

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simulator-adapter:", err)
		os.Exit(1)
	}
}

// run reads batches from in and writes one reply to each to out, until in ends. It blocks while it waits for input.
func run(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, bufferSize)
	writer := bufio.NewWriterSize(out, bufferSize)
	h := newHost()
	for {
		batch, err := simulator.ReadBatch(reader)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.handle(batch); err != nil {
			return err
		}
		if err := h.reply.Flush(writer, batch.Sequence); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil { // the simulator waits for each reply
			return err
		}
	}
}

// host holds the running instances and collects the reply to the current batch.
type host struct {
	instances map[uint16]*policy.Policy // by the simulator's instance number
	reply     simulator.Reply
	actions   []policy.Action // actions on the current event; the memory is reused for the next event
}

func newHost() *host { return &host{instances: map[uint16]*policy.Policy{}} }

// handle passes the records of a batch to their instances.
func (h *host) handle(batch simulator.Batch) error {
	for _, record := range batch.Records {
		switch event := record.Event.(type) {
		case simulator.Init:
			if err := h.start(record.Instance, event); err != nil {
				return err
			}
		case simulator.Kill:
			delete(h.instances, record.Instance)
		case policy.Event:
			h.handleEvent(batch.Now, record.Instance, event)
		}
	}
	return nil
}

// handleEvent passes an event to its instance and adds the resulting actions to the reply. An event for an instance
// that is not running is ignored.
func (h *host) handleEvent(now time.Duration, instance uint16, event policy.Event) {
	module := h.instances[instance]
	if module == nil {
		return
	}
	h.actions = module.Handle(now, event, h.actions[:0])
	h.reply.Add(instance, h.actions)
}

// start starts an instance. It replaces a running instance with the same number.
func (h *host) start(instance uint16, init simulator.Init) error {
	cfg, err := simulator.ParseSettings(init.Settings)
	if err != nil {
		return err
	}
	module, err := policy.New(cfg, init.Seed)
	if err != nil {
		return err
	}
	h.instances[instance] = module
	return nil
}
