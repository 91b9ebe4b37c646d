package server

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"crankhold/internal/fake"
)

// closedLoopClient sends its next request once it has the answer to the last, until its connection ends.
type closedLoopClient struct {
	answered   int
	unanswered int       // sent, and the connection ended: at most one
	lastAnswer time.Time // when it came
}

func (c *closedLoopClient) run(client *fake.Client, number int, wait time.Duration) {
	for n := 0; ; n++ {
		call := callOf(number<<32 + n)
		call.Timeout = wait
		if _, err := client.Do(call); err != nil {
			c.unanswered++
			return
		}
		c.answered++
		c.lastAnswer = time.Now()
	}
}

// Clients go on sending on open connections until the router is killed. Whatever the router has read of them it answers,
// and it goes on to answer until shortly before the kill, which comes early where deadlines are short.
func TestAllThatIsReadDuringAShutdownIsAnswered(t *testing.T) {
	for _, deadline := range []time.Duration{400 * time.Millisecond, time.Second} {
		t.Run(fmt.Sprint("deadlines of ", deadline), func(t *testing.T) {
			_, listen, document := siteFor(t, 3, nil)
			setDeadlines(document, deadline)
			p := startProgramWith(t, document, listen)
			p.client().Close()
			clients := make([]closedLoopClient, 16)
			var running sync.WaitGroup
			for i := range clients {
				connection := p.client()
				running.Go(func() { clients[i].run(connection, i+1, deadline) })
			}
			idle := p.client() // holds its connection and sends nothing
			time.Sleep(200 * time.Millisecond)
			terminated := time.Now()
			p.cmd.Process.Signal(syscall.SIGTERM)
			running.Wait()
			if err := <-p.ended; err != nil {
				t.Errorf("it ended with %v", err)
			}
			idle.Close()
			answered, last := 0, time.Time{}
			for _, c := range clients {
				answered += c.answered
				if c.lastAnswer.After(last) {
					last = c.lastAnswer
				}
			}
			if read := counter(t, p.output(), "accepted"); read != answered {
				t.Errorf("it read %d requests, and %d were answered", read, answered)
			}
			if served := last.Sub(terminated); served < killAfter(deadline)-300*time.Millisecond {
				t.Errorf("the last answer came %v after SIGTERM, and the kill is due after %v", served, killAfter(deadline))
			}
		})
	}
}

// Workers that hang through the whole of a shutdown leave no request without an answer when the kill comes, however long
// its client would wait.
func TestHangingWorkersLeaveNoRequestUnansweredAtTheKill(t *testing.T) {
	const deadline = 500 * time.Millisecond
	site, listen, document := siteFor(t, 2, nil)
	setDeadlines(document, deadline)
	p := startProgramWith(t, document, listen)
	client := p.client()
	if answer, err := client.Do(callOf(1)); err != nil || answer.Status != fake.Served {
		t.Fatalf("answer %+v, %v", answer, err)
	}
	for _, worker := range site.Workers {
		worker.Hang()
	}
	var open sync.WaitGroup
	answers := make(chan error, 3)
	send := func(n int) {
		call := callOf(n)
		call.Class, call.Timeout = "repair-order", 5*time.Second
		open.Add(1)
		client.Go(call, func(_ fake.Response, err error) {
			answers <- err
			open.Done()
		})
	}
	send(2)
	p.cmd.Process.Signal(syscall.SIGTERM)
	send(3)
	time.Sleep(650 * time.Millisecond)
	send(4)
	killed := time.AfterFunc(killAfter(deadline)-650*time.Millisecond, func() { p.cmd.Process.Kill() })
	defer killed.Stop()
	open.Wait()
	for range 3 {
		if err := <-answers; err != nil {
			t.Errorf("a request ended with %v", err)
		}
	}
	<-p.ended
}

// A request of which the first half has come when a shutdown begins is answered once the rest has.
func TestRequestThatASignalCutsInHalfIsAnswered(t *testing.T) {
	_, listen, document := siteFor(t, 1, nil)
	p := startProgramWith(t, document, listen)
	client := p.client()
	if _, err := client.CheckHealth(); err != nil {
		t.Fatal(err)
	}
	answered := make(chan error, 1)
	rest := client.GoInHalves(callOf(1), func(_ fake.Response, err error) { answered <- err })
	p.cmd.Process.Signal(syscall.SIGTERM)
	time.Sleep(1200 * time.Millisecond) // past the time in which requests are served, and before the kill
	rest()
	if err := <-answered; err != nil {
		t.Errorf("it ended with %v", err)
	}
}
