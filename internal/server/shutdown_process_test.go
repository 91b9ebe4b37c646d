package server

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"crankhold/internal/fake"
)

// closedLoopClient sends one request after the other, each after the response to the previous one, until its connection
// is closed.
type closedLoopClient struct {
	responses       int
	withoutResponse int       // requests whose connection was closed before the response: at most one
	lastResponse    time.Time // when it arrived
}

func (c *closedLoopClient) run(client *fake.Client, number int, timeout time.Duration) {
	for n := 0; ; n++ {
		request := newRequest(number<<32 + n)
		request.Timeout = timeout
		if _, err := client.Do(request); err != nil {
			c.withoutResponse++
			return
		}
		c.responses++
		c.lastResponse = time.Now()
	}
}

// Clients go on sending on open connections until the router is killed. The router responds to every request that it
// has read, and goes on responding until shortly before the kill. The kill is early if deadlines are short.
func TestRequestsReadDuringAShutdownGetResponses(t *testing.T) {
	for _, deadline := range []time.Duration{400 * time.Millisecond, time.Second} {
		t.Run(fmt.Sprint("deadlines of ", deadline), func(t *testing.T) {
			_, listen, document := newSite(t, 3, nil)
			setDeadlines(document, deadline)
			p := startProgramWithDocument(t, document, listen)
			p.client().Close()
			clients := make([]closedLoopClient, 16)
			var running sync.WaitGroup
			for i := range clients {
				connection := p.client()
				running.Go(func() { clients[i].run(connection, i+1, deadline) })
			}
			idle := p.client() // keeps its connection open and sends nothing
			time.Sleep(200 * time.Millisecond)
			terminated := time.Now()
			p.cmd.Process.Signal(syscall.SIGTERM)
			running.Wait()
			if err := <-p.exited; err != nil {
				t.Errorf("the program exited with %v", err)
			}
			idle.Close()
			responses, latest := 0, time.Time{}
			for _, c := range clients {
				responses += c.responses
				if c.lastResponse.After(latest) {
					latest = c.lastResponse
				}
			}
			if read := thriftCounter(t, p.output(), "accepted"); read != responses {
				t.Errorf("the program read %d requests, and clients received %d responses", read, responses)
			}
			if servingTime := latest.Sub(terminated); servingTime < earliestKill(deadline)-300*time.Millisecond {
				t.Errorf("the last response came %v after SIGTERM, and the kill is due after %v", servingTime, earliestKill(deadline))
			}
		})
	}
}

// Workers hang during a whole shutdown. Even then, each request has its response before the kill, however long its
// client would wait.
func TestHangingWorkersLeaveNoRequestWithoutResponseAtTheKill(t *testing.T) {
	const deadline = 500 * time.Millisecond
	site, listen, document := newSite(t, 2, nil)
	setDeadlines(document, deadline)
	p := startProgramWithDocument(t, document, listen)
	client := p.client()
	if response, err := client.Do(newRequest(1)); err != nil || response.Status != fake.Served {
		t.Fatalf("response %+v, %v", response, err)
	}
	for _, worker := range site.Workers {
		worker.Hang()
	}
	var pending sync.WaitGroup
	results := make(chan error, 3)
	send := func(n int) {
		request := newRequest(n)
		request.Class, request.Timeout = "repair-order", 5*time.Second
		pending.Add(1)
		client.Go(request, func(_ fake.Response, err error) {
			results <- err
			pending.Done()
		})
	}
	send(2)
	p.cmd.Process.Signal(syscall.SIGTERM)
	send(3)
	time.Sleep(650 * time.Millisecond)
	send(4)
	killTimer := time.AfterFunc(earliestKill(deadline)-650*time.Millisecond, func() { p.cmd.Process.Kill() })
	defer killTimer.Stop()
	pending.Wait()
	for range 3 {
		if err := <-results; err != nil {
			t.Errorf("a request ended with %v", err)
		}
	}
	<-p.exited
}

// A request whose first half has arrived when a shutdown starts gets its response after the second half has arrived.
func TestRequestSplitBySIGTERMGetsAResponse(t *testing.T) {
	_, listen, document := newSite(t, 1, nil)
	p := startProgramWithDocument(t, document, listen)
	client := p.client()
	if _, err := client.CheckHealth(); err != nil {
		t.Fatal(err)
	}
	result := make(chan error, 1)
	sendRest := client.GoInHalves(newRequest(1), func(_ fake.Response, err error) { result <- err })
	p.cmd.Process.Signal(syscall.SIGTERM)
	time.Sleep(1200 * time.Millisecond) // after the time in which requests are served, and before the kill
	sendRest()
	if err := <-result; err != nil {
		t.Errorf("the request failed: %v", err)
	}
}
