package benchmark

import (
	"fmt"
	"math/rand/v2"
	"time"

	"crankhold/internal/fake"
)

// Classes of the fake site's configuration.
const (
	classDimLevel    = "dim-level"
	classFaultCheck  = "fault-check"
	classRepairOrder = "repair-order" // not idempotent
)

// classes are all classes, in the order in which they are reported.
var classes = []string{classDimLevel, classFaultCheck, classRepairOrder}

// classMix is what the class of a request is drawn from.
var classMix = []string{classDimLevel, classDimLevel, classFaultCheck, classRepairOrder}

// classTimeouts is how long clients wait for a response.
var classTimeouts = map[string]time.Duration{
	classDimLevel:    2 * time.Second,
	classFaultCheck:  2500 * time.Millisecond,
	classRepairOrder: 3 * time.Second,
}

// How many functions are requested, and connections used, by a mixed load.
const (
	mixedLoadFunctions = 12
	mixedLoadClients   = 8
)

// functionKey returns the key of a function by its number, from 0.
func functionKey(n int) string { return fmt.Sprintf("%016x", uint64(1+n)*0x1111111111111111) }

// mixedLoad sends requests of all classes at a constant rate and records their responses.
type mixedLoad struct {
	record  *record
	clients []*fake.Client
	rate    int // requests per second
	length  time.Duration
	random  *rand.Rand
	// burst, which may be nil, says how many requests of the class dim-level are sent at once in place of the
	// n-th; 0 for none.
	burstSize func(n int) int
}

func newMixedLoad(r *record, clients []*fake.Client, rate int, length time.Duration, seed uint64) *mixedLoad {
	return &mixedLoad{record: r, clients: clients, rate: rate, length: length, random: rand.New(rand.NewPCG(seed, 7))}
}

// run sends the load from a time on, until its length has passed.
func (l *mixedLoad) run(begun time.Time) {
	interval := time.Second / time.Duration(l.rate)
	for n := 0; time.Since(begun) < l.length; n++ {
		time.Sleep(time.Until(begun.Add(time.Duration(n) * interval)))
		class := classMix[l.random.IntN(len(classMix))]
		if l.burstSize != nil && l.burstSize(n) > 0 {
			l.sendBurst(l.burstSize(n))
			continue
		}
		l.send(class)
	}
}

func (l *mixedLoad) sendBurst(size int) {
	for range size {
		l.send(classDimLevel)
	}
}

// send sends a request of a class for a random function over a random connection.
func (l *mixedLoad) send(class string) {
	client := l.clients[l.random.IntN(len(l.clients))]
	id := fmt.Sprintf("%016x", l.random.Uint64())
	key := functionKey(l.random.IntN(mixedLoadFunctions))
	l.record.send(client, fake.Request{
		Class:       class,
		ID:          id,
		FunctionKey: key,
		Timeout:     classTimeouts[class],
		Properties:  "memory_mb:256;lanes:8;load_ms:300",
		Body:        []byte("x"),
	})
}
