package benchmark

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"crankhold/internal/fake"
)

// Starts measures how long many routers take to be ready that are started at once, on one machine, while the directory
// is down: half of them know a worker, half begin with an empty list.
type Starts struct {
	Short   bool          `help:"Start once in place of three times."`
	Router  string        `help:"The program to measure; the one beside this one unless given." type:"path"`
	Routers int           `help:"How many are started at once." default:"30"`
	Within  time.Duration `help:"The time in which nine in ten must be ready." default:"10s"`
}

// Run starts them and asks each whether it is ready until it is.
func (s Starts) Run(out io.Writer) error {
	program, err := findRouter(s.Router)
	if err != nil {
		return err
	}
	rounds := 3
	if s.Short {
		rounds = 1
	}
	f := &figures{}
	var all []time.Duration
	fmt.Fprintf(out, "%6s %10s %10s %10s\n", "round", "median ms", "90% ms", "slowest ms")
	for n := range rounds {
		took, err := s.round(program)
		if err != nil {
			return err
		}
		slices.Sort(took)
		fmt.Fprintf(out, "%6d %10d %10d %10d\n", n+1, took[len(took)/2].Milliseconds(), took[len(took)*9/10].Milliseconds(), took[len(took)-1].Milliseconds())
		all = append(all, took...)
	}
	slices.Sort(all)
	ready := 0
	for _, d := range all {
		if d <= s.Within {
			ready++
		}
	}
	f.add("starts", len(all))
	f.must("ready_in_time", ready, ready*10 >= len(all)*9)
	f.add("slowest_ms", all[len(all)-1].Milliseconds())
	return f.print(out)
}

// round starts all at once and tells how long each took.
func (s Starts) round(program string) ([]time.Duration, error) {
	dir, err := os.MkdirTemp("", "crankhold-lab-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	site, err := fake.NewSite("127.0.0.1:0", []fake.WorkerConfig{{Name: "s-1", Addr: "127.0.0.1:0", Kind: "std", Zone: "here", Warm: true}}, nil)
	if err != nil {
		return nil, err
	}
	defer site.Close()
	site.Directory.Close() // whoever asks is refused
	var routers []*process
	defer func() {
		for _, p := range routers {
			p.cmd.Process.Kill()
			<-p.ended
		}
	}()
	begun := time.Now()
	for n := range s.Routers {
		listen, err := fake.FreeAddr()
		if err != nil {
			return nil, err
		}
		config := filepath.Join(dir, fmt.Sprintf("%d.json", n))
		if err := writeStart(site, config, listen, n%2 == 1); err != nil {
			return nil, err
		}
		p, err := launch(program, listen, "EDGE_CONFIG="+config)
		if err != nil {
			return nil, err
		}
		routers = append(routers, p)
	}
	took, wrong := make([]time.Duration, len(routers)), make(chan error, len(routers))
	for i, p := range routers {
		go func() {
			at, err := ready(p, begun.Add(30*time.Second))
			took[i] = at.Sub(begun)
			wrong <- err
		}()
	}
	for range routers {
		if e := <-wrong; e != nil && err == nil {
			err = e
		}
	}
	return took, err
}

// writeStart writes the configuration of a router that knows the site's workers, or none.
func writeStart(site *fake.Site, path, listen string, empty bool) error {
	if !empty {
		return site.WriteConfig(path, listen)
	}
	var config map[string]any
	if err := json.Unmarshal(site.Config(listen), &config); err != nil {
		return err
	}
	config["known"] = object{"offset": 1, "batch": []object{{"offset": 1, "topology": object{"complete": true, "members": []object{}}}}}
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o644)
}

type object = map[string]any

// ready asks a router until it says that it takes calls, and tells when it did.
func ready(p *process, limit time.Time) (time.Time, error) {
	for time.Now().Before(limit) {
		if k, err := fake.Dial(p.listen); err == nil {
			good, err := k.Check()
			k.Close()
			if err == nil && good {
				return time.Now(), nil
			}
		}
		select {
		case <-p.ended:
			return time.Now(), fmt.Errorf("a router ended: %s", p.last(5))
		case <-time.After(10 * time.Millisecond):
		}
	}
	return time.Now(), fmt.Errorf("a router is not ready: %s", p.last(5))
}
