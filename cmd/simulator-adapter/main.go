// Command simulator-adapter speaks the simulator's wire on standard input and output and hosts one
// policy.Policy for each instance.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"crankhold/internal/simulator"
	"crankhold/policy"
)

// bufferSize is that of the buffers on input and output, in bytes.
const bufferSize = 1 << 16

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simulator-adapter:", err)
		os.Exit(1)
	}
}

// run answers each batch of in with one reply on out, until in ends.
func run(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, bufferSize), bufio.NewWriterSize(out, bufferSize)
	h := host{instances: map[uint16]*policy.Policy{}}
	for {
		batch, err := simulator.ReadBatch(r)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.handle(batch); err != nil {
			return err
		}
		if err := h.reply.Flush(w, batch.Sequence); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// host holds the instances that run, and gathers the reply to the present batch.
type host struct {
	instances map[uint16]*policy.Policy
	reply     simulator.Reply
	actions   []policy.Action // used anew by each event
}

// handle feeds the records of a batch to their instances. What is for an instance that does not run is passed over.
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
			if p := h.instances[record.Instance]; p != nil {
				h.actions = p.Handle(batch.Now, event, h.actions[:0])
				h.reply.Add(record.Instance, h.actions)
			}
		}
	}
	return nil
}

// start starts an instance, in place of one that runs.
func (h *host) start(instance uint16, init simulator.Init) error {
	cfg, err := simulator.ParseSettings(init.Settings)
	if err != nil {
		return err
	}
	p, err := policy.New(cfg, init.Seed)
	if err != nil {
		return err
	}
	h.instances[instance] = p
	return nil
}
