// Command simulator-adapter hosts the decision module for the operators' simulator. It reads batches of events from
// standard input and writes one reply with actions for each to standard output. Each instance of the simulator has a
// policy.Policy of its own. The program ends with its input, and with status 1 at the first error.
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

// bufferSize is the size of each of the buffers on input and output, in bytes.
const bufferSize = 1 << 16

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simulator-adapter:", err)
		os.Exit(1)
	}
}

// run answers each batch of in with one reply on out, until in ends. It blocks while there is nothing to read.
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

// host holds the running instances, and gathers the reply to the present batch.
type host struct {
	instances map[uint16]*policy.Policy // by the simulator's number
	reply     simulator.Reply
	actions   []policy.Action // of one event; its memory is reused by the next
}

func newHost() *host { return &host{instances: map[uint16]*policy.Policy{}} }

// handle hands the records of a batch to their instances.
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

// handleEvent adds an instance's actions on an event to the reply. An event for an instance that does not run is
// ignored.
func (h *host) handleEvent(now time.Duration, instance uint16, event policy.Event) {
	module := h.instances[instance]
	if module == nil {
		return
	}
	h.actions = module.Handle(now, event, h.actions[:0])
	h.reply.Add(instance, h.actions)
}

// start starts an instance. One that runs under the same number is replaced.
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
