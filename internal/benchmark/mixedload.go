package benchmark

import (
	"fmt"
	"math/rand/v2"
	"time"

	"crankhold/internal/fake"
)

// The numbers of functions that a mixed load requests, and of clients that it uses.
const (
	mixedLoadFunctions = 12
	mixedLoadClients   = 8
)

// functionKey returns the key of function n, counted from 0.
func functionKey(n int) string { return fake.FunctionKey(1 + n) }

// mixedLoadConfig describes a mixedLoad.
type mixedLoadConfig struct {
	record  *record
	clients []*fake.Client
	rate    int // requests per second
	length  time.Duration
	seed    uint64
	// burstSize is the number of requests of class dim-level in a burst. Once a second, a burst is sent in place of a
	// single request. 0 disables bursts.
	burstSize int
}

// mixedLoad sends requests of all classes at a constant rate and records their responses.
type mixedLoad struct {
	mixedLoadConfig
	random *rand.Rand
}

func newMixedLoad(cfg mixedLoadConfig) *mixedLoad {
	return &mixedLoad{mixedLoadConfig: cfg, random: rand.New(rand.NewPCG(cfg.seed, 7))}
}

// run sends the load, which starts at the given time. It blocks until the load's length has passed.
func (l *mixedLoad) run(startedAt time.Time) {
	interval := time.Second / time.Duration(l.rate)
	for n := 0; time.Since(startedAt) < l.length; n++ {
		time.Sleep(time.Until(startedAt.Add(time.Duration(n) * interval)))
		class := fake.ClassMix[l.random.IntN(len(fake.ClassMix))]
		if l.burstSize > 0 && n%l.rate == l.rate/2 {
			l.sendBurst()
			continue
		}
		l.send(class)
	}
}

func (l *mixedLoad) sendBurst() {
	for range l.burstSize {
		l.send(fake.DimLevel)
	}
}

// send sends a request of a class for a random function over a random connection.
func (l *mixedLoad) send(class fake.Class) {
	client := l.clients[l.random.IntN(len(l.clients))]
	id := fmt.Sprintf("%016x", l.random.Uint64())
	key := functionKey(l.random.IntN(mixedLoadFunctions))
	l.record.send(client, fake.Request{
		Class:       class.Name,
		ID:          id,
		FunctionKey: key,
		Timeout:     class.Timeout,
		Properties:  "memory_mb:256;lanes:8;load_ms:300",
		Body:        []byte("x"),
	})
}
