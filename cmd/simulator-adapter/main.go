// Command simulator-adapter speaks the simulator's wire on standard input and output and hosts one
// policy.Policy for each instance.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"crankhold/internal/simulator"
	"crankhold/policy"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simulator-adapter:", err)
		os.Exit(1)
	}
}

// run answers each batch of in with one reply on out, until in ends.
func run(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<16), bufio.NewWriterSize(out, 1<<16)
	instances := map[uint16]*policy.Policy{}
	var reply simulator.Reply
	var actions []policy.Action
	for {
		batch, err := simulator.ReadBatch(r)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		for _, rec := range batch.Records {
			switch ev := rec.Event.(type) {
			case simulator.Init:
				cfg, err := simulator.ParseSettings(ev.Settings)
				if err != nil {
					return err
				}
				if instances[rec.Instance], err = policy.New(cfg, ev.Seed); err != nil {
					return err
				}
			case simulator.Kill:
				delete(instances, rec.Instance)
			case policy.Event:
				if p := instances[rec.Instance]; p != nil {
					actions = p.Handle(batch.Now, ev, actions[:0])
					reply.Add(rec.Instance, actions)
				}
			}
		}
		if err := reply.Flush(w, batch.Seq); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}
