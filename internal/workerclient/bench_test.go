package workerclient_test

import (
	"fmt"
	"testing"
	"time"

	"crankhold/internal/endpoint"
	"crankhold/internal/eventloop"
	"crankhold/internal/router"
	"crankhold/internal/workerclient"
	"crankhold/policy"
)

// discardTransport drops what is written to it.
type discardTransport struct{}

func (discardTransport) Write(...[]byte)  {}
func (discardTransport) Close()           {}
func (discardTransport) UnsentBytes() int { return 0 }

// servedCounter counts the requests that were served.
type servedCounter struct{ served int }

func (c *servedCounter) AttemptCompleted(_ router.Attempt, r router.AttemptResult) {
	if r.Outcome == policy.Served {
		c.served++
	}
}
func (*servedCounter) LoadCompleted(uint64, policy.Outcome, int)              {}
func (*servedCounter) MaySendLoad(uint64) bool                                { return true }
func (*servedCounter) HealthCheckCompleted(uint64, policy.Outcome, []float64) {}

// BenchmarkRequest sends a request over an established connection and handles its response.
func BenchmarkRequest(b *testing.B) {
	var handler eventloop.DialHandler
	results := &servedCounter{}
	pool := workerclient.New(workerclient.Config{
		HealthChecksAllowed: true,
		Classes:             []string{"dim-level"}, ReportFields: []string{"inflight", "cpu"}, DialTimeout: time.Second,
		KeepAlive: 10_000 * time.Hour, MaxRequestsPerConnection: 32, MaxConnections: 100,
		Dial: func(_, _ string, _ time.Duration, h eventloop.DialHandler) workerclient.Transport {
			handler = h
			return discardTransport{}
		},
	}, results)
	pool.SetWorker(1, []endpoint.Addr{{Network: endpoint.TCP4, Addr: "127.0.0.1:1"}}, policy.Ready)
	pool.CheckHealth(1, 1)
	handler.DialCompleted(nil)
	handler.Data([]byte("*4\r\n$2\r\np1\r\n$4\r\nPONG\r\n$1\r\n-\r\n$0\r\n\r\n"))
	const ids = 1000 // distinct, because a connection carries each id only once
	var requests [ids]*router.Request
	var responses [ids][]byte
	for i := range ids {
		id := fmt.Sprintf("%016x", i)
		requests[i] = &router.Request{ID: id, Function: router.Function{Key: "00000000000000aa"}, Body: make([]byte, 1000)}
		responses[i] = []byte("*4\r\n$16\r\n" + id + "\r\n$3\r\nHIT\r\n$41\r\ndetail=hot,crowd=3,use=inflight:7;cpu:0.5\r\n$6\r\nresult\r\n")
	}
	b.ReportAllocs()
	now := time.Second
	requested := 0
	for b.Loop() {
		i := requested % ids
		requested++
		if i == 0 {
			now = forgetIDs(pool, now)
		}
		pool.StartAttempt(1, router.Attempt{Request: policy.RequestID(i)}, requests[i], time.Second)
		handler.Data(responses[i])
	}
	if results.served != requested {
		b.Fatalf("%d of %d requests were served", results.served, requested)
	}
}

// forgetIDs advances a pool's clock until its connections have forgotten the ids of earlier requests.
func forgetIDs(pool *workerclient.Pool, now time.Duration) time.Duration {
	for range 2 {
		now += 10 * time.Second
		pool.Maintain(now)
	}
	return now
}
