package server

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"crankhold/internal/fake"
)

// A request whose client has closed its connection or interrupted it while it waited for a dial is not sent once the dial
// completes, even where the settings don't allow cancellation. The later request of another client is. Each step waits for a
// response that can only come after the step before.
func TestRequestOfAGoneClientIsNotSentAfterTheDial(t *testing.T) {
	for _, tt := range []struct {
		name   string
		cancel bool
		goes   func(k *fake.Client)
	}{
		{"closes", true, (*fake.Client).Close}, {"closes, cancellation not allowed", false, (*fake.Client).Close},
		{"interrupts, cancellation not allowed", false, func(k *fake.Client) { k.Interrupt(1) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var mu sync.Mutex
			var ran []string
			site, _, document := siteFor(t, 1, func(e fake.Event) {
				if e.Kind == fake.EventStarted {
					mu.Lock()
					ran = append(ran, e.ID)
					mu.Unlock()
				}
			})
			limits := document["settings"].(map[string]any)["limits"].(map[string]any)
			limits["cancel"], limits["dialTimeoutMs"] = tt.cancel, 20000
			port := site.Workers[0].Ports()[0]
			if err := port.Set(fake.ModeBacklogFull); err != nil {
				t.Fatal(err)
			}
			server := startServer(t, document, Options{})
			check := func(k *fake.Client) { // answered at the end of a turn, after everything that came before it
				t.Helper()
				if _, err := k.CheckHealth(); err != nil {
					t.Fatal(err)
				}
			}
			goes, stays := server.dial(), server.dial()
			gone, kept := callOf(1), callOf(2)
			gone.Timeout, kept.Timeout = 20e9, 20e9
			goes.Go(gone, func(fake.Response, error) {})
			check(goes) // the dial has begun
			tt.goes(goes)
			for range 3 {
				check(stays) // the end, which came before, has been read
			}
			answer := make(chan fake.Response, 1)
			stays.Go(kept, func(a fake.Response, _ error) { answer <- a })
			check(stays)
			if err := port.Set(fake.ModeHealthy); err != nil {
				t.Fatal(err)
			}
			if a := <-answer; a.Status != "served" {
				t.Errorf("the request of the client that stayed: %+v", a)
			}
			mu.Lock()
			defer mu.Unlock()
			if !slices.Equal(ran, []string{kept.ID}) {
				t.Errorf("ran %v, of which only %s was wanted", ran, kept.ID)
			}
		})
	}
}

// A request whose client has gone while its function was being loaded is not sent when the load ends, whether or not
// workers may be told of ends. The request of a client that stays is.
func TestRequestOfAGoneClientIsNotSentAfterTheLoad(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		for name, goes := range map[string]func(k *fake.Client){"closes": (*fake.Client).Close, "interrupts": func(k *fake.Client) { k.Interrupt(1) }} {
			t.Run(fmt.Sprint(name, ", cancellation allowed ", cancel), func(t *testing.T) {
				var mu sync.Mutex
				var ran []string
				ordered := make(chan struct{}, 10)
				site, _, document := siteFor(t, 1, func(e fake.Event) {
					mu.Lock()
					defer mu.Unlock()
					switch e.Kind {
					case fake.EventStarted:
						ran = append(ran, e.ID)
					case fake.EventLoadCommand:
						ordered <- struct{}{}
					}
				})
				site.Workers[0].Warm = false
				site.Workers[0].LoadTime = 300 * time.Millisecond
				document["settings"].(map[string]any)["limits"].(map[string]any)["cancel"] = cancel
				server := startServer(t, document, Options{})
				leaves, stays := server.dial(), server.dial()
				gone, kept := callOf(1), callOf(2)
				leaves.Go(gone, func(fake.Response, error) {})
				<-ordered
				goes(leaves)
				if answer, err := stays.Do(kept); err != nil || answer.Status != fake.Served {
					t.Errorf("the request of the client that stays: %+v, %v", answer, err)
				}
				mu.Lock()
				defer mu.Unlock()
				if !slices.Equal(ran, []string{kept.ID}) {
					t.Errorf("ran %v, of which only %s was wanted", ran, kept.ID)
				}
			})
		}
	}
}
