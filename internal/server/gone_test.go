package server

import (
	"slices"
	"sync"
	"testing"

	"crankhold/internal/fake"
)

// Guards a client that goes, by closing or by an interrupt, while its call waits behind a dial that hangs: when the dial
// comes up its call is not sent, also where the settings don't let the module call anything off. The call of a client
// that stays, taken after it, is. Each step waits for an answer that can only come after the step before.
func TestAClientThatWentIsNotSentWhenTheDialComesUp(t *testing.T) {
	for _, tt := range []struct {
		name   string
		cancel bool
		goes   func(k *fake.Client)
	}{
		{"closes", true, (*fake.Client).Close}, {"closes, nothing may be called off", false, (*fake.Client).Close},
		{"interrupts, nothing may be called off", false, func(k *fake.Client) { k.Interrupt(1) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var mu sync.Mutex
			var ran []string
			site, _, document := siteFor(t, 1, func(e fake.Event) {
				if e.What == "run" {
					mu.Lock()
					ran = append(ran, e.ID)
					mu.Unlock()
				}
			})
			limits := document["settings"].(map[string]any)["limits"].(map[string]any)
			limits["cancel"], limits["dialTimeoutMs"] = tt.cancel, 20000
			port := site.Workers[0].Ports()[0]
			if err := port.Set("full"); err != nil {
				t.Fatal(err)
			}
			server := startServer(t, document, Options{})
			check := func(k *fake.Client) { // answered at the end of a turn, after all that came before it
				t.Helper()
				if _, err := k.Check(); err != nil {
					t.Fatal(err)
				}
			}
			goes, stays := server.dial(), server.dial()
			gone, kept := callOf(1), callOf(2)
			gone.Wait, kept.Wait = 20e9, 20e9
			goes.Go(gone, func(fake.Answer, error) {})
			check(goes) // the dial has begun
			tt.goes(goes)
			for range 3 {
				check(stays) // the end, which came before, has been read
			}
			answer := make(chan fake.Answer, 1)
			stays.Go(kept, func(a fake.Answer, _ error) { answer <- a })
			check(stays)
			if err := port.Set("well"); err != nil {
				t.Fatal(err)
			}
			if a := <-answer; a.Verdict != "served" {
				t.Errorf("the call of the client that stayed: %+v", a)
			}
			mu.Lock()
			defer mu.Unlock()
			if !slices.Equal(ran, []string{kept.ID}) {
				t.Errorf("ran %v, of which only %s was wanted", ran, kept.ID)
			}
		})
	}
}
