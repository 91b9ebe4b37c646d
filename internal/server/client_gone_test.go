package server

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"crankhold/internal/fake"
)

// A request waits for a dial, and its client closes the connection or cancels the request. Then the request is not sent
// when the dial completes, even if the settings don't allow cancel commands to workers. A later request of another
// client is sent. Each step waits for a response that can only arrive after the previous step.
func TestRequestOfAGoneClientIsNotSentAfterTheDial(t *testing.T) {
	for _, tt := range []struct {
		name    string
		cancel  bool
		leaving func(client *fake.Client)
	}{
		{"closes", true, (*fake.Client).Close}, {"closes, cancellation not allowed", false, (*fake.Client).Close},
		{"interrupts, cancellation not allowed", false, func(client *fake.Client) { client.Interrupt(1) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var mu sync.Mutex
			var ran []string
			site, _, document := newSite(t, 1, func(e fake.Event) {
				if e.Kind == fake.EventStarted {
					mu.Lock()
					ran = append(ran, e.ID)
					mu.Unlock()
				}
			})
			limits := document["settings"].(map[string]any)["limits"].(map[string]any)
			limits["cancel"], limits["dialTimeoutMs"] = tt.cancel, 20000
			port := site.Workers[0].Ports()[0]
			if err := port.SetMode(fake.ModeBacklogFull); err != nil {
				t.Fatal(err)
			}
			server := startServer(t, document, Options{})
			checkHealth := func(client *fake.Client) { // gets its response at the end of a turn, after all earlier events
				t.Helper()
				if _, err := client.CheckHealth(); err != nil {
					t.Fatal(err)
				}
			}
			leaving, staying := server.dial(), server.dial()
			canceled, kept := newRequest(1), newRequest(2)
			canceled.Timeout, kept.Timeout = 20e9, 20e9
			leaving.Go(canceled, func(fake.Response, error) {})
			checkHealth(leaving) // the dial has started
			tt.leaving(leaving)
			for range 3 {
				checkHealth(staying) // the router has read the earlier close or cancellation
			}
			responses := make(chan fake.Response, 1)
			staying.Go(kept, func(response fake.Response, _ error) { responses <- response })
			checkHealth(staying)
			if err := port.SetMode(fake.ModeHealthy); err != nil {
				t.Fatal(err)
			}
			if response := <-responses; response.Status != "served" {
				t.Errorf("the request of the other client: %+v", response)
			}
			mu.Lock()
			defer mu.Unlock()
			if !slices.Equal(ran, []string{kept.ID}) {
				t.Errorf("ran %v, of which only %s was wanted", ran, kept.ID)
			}
		})
	}
}

// A request whose client closes its connection or cancels the request during the load of its function is not sent when
// the load completes, whether or not the settings allow cancel commands to workers. The request of another client is
// sent.
func TestRequestOfAGoneClientIsNotSentAfterTheLoad(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		for name, leave := range map[string]func(client *fake.Client){"closes": (*fake.Client).Close, "interrupts": func(client *fake.Client) { client.Interrupt(1) }} {
			t.Run(fmt.Sprint(name, ", cancellation allowed ", cancel), func(t *testing.T) {
				var mu sync.Mutex
				var ran []string
				loadCommands := make(chan struct{}, 10)
				site, _, document := newSite(t, 1, func(e fake.Event) {
					mu.Lock()
					defer mu.Unlock()
					switch e.Kind {
					case fake.EventStarted:
						ran = append(ran, e.ID)
					case fake.EventLoadCommand:
						loadCommands <- struct{}{}
					}
				})
				site.Workers[0].Warm = false
				site.Workers[0].LoadTime = 300 * time.Millisecond
				document["settings"].(map[string]any)["limits"].(map[string]any)["cancel"] = cancel
				server := startServer(t, document, Options{})
				leaving, staying := server.dial(), server.dial()
				canceled, kept := newRequest(1), newRequest(2)
				leaving.Go(canceled, func(fake.Response, error) {})
				<-loadCommands
				leave(leaving)
				if response, err := staying.Do(kept); err != nil || response.Status != fake.Served {
					t.Errorf("the request of the other client: %+v, %v", response, err)
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
