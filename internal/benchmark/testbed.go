package benchmark

import (
	"fmt"
	"time"

	"crankhold/internal/fake"
)

// testbedPrefix is the prefix of the names of the experiments' temporary folders.
const testbedPrefix = "crankhold-benchmark-"

// startTestbed starts the fakes that a router needs. startRouterOn starts the router.
func startTestbed(workers []fake.WorkerConfig, record func(fake.Event)) (*fake.Testbed, error) {
	return fake.StartTestbed(fake.TestbedConfig{Prefix: testbedPrefix, Workers: workers, Record: record})
}

// startRouterOn starts a program as the router of a testbed, with additional environment variables. It blocks until the
// router accepts connections.
func startRouterOn(bed *fake.Testbed, program string, env ...string) (*process, error) {
	listen, configPath, err := bed.WriteConfig("config.json")
	if err != nil {
		return nil, err
	}
	return startRouter(program, listen, append([]string{"EDGE_CONFIG=" + configPath}, env...)...)
}

// workerConfigs returns n worker configurations that differ in the name only. The name is formatted from the worker's
// number, counted from 1.
func workerConfigs(n int, nameFormat string, cfg fake.WorkerConfig) []fake.WorkerConfig {
	list := make([]fake.WorkerConfig, n)
	for i := range list {
		list[i] = cfg
		list[i].Name = fmt.Sprintf(nameFormat, i+1)
		list[i].Addr = "127.0.0.1:0"
		list[i].Zone = "here"
	}
	return list
}

// dialClients opens n client connections to a router.
func dialClients(addr string, n int) ([]*fake.Client, error) {
	var clients []*fake.Client
	for range n {
		c, err := fake.Dial(addr)
		if err != nil {
			closeClients(clients)
			return nil, err
		}
		clients = append(clients, c)
	}
	return clients, nil
}

func closeClients(clients []*fake.Client) {
	for _, c := range clients {
		c.Close()
	}
}

// responseWait is how long each client waits for its last responses. It is longer than any request's timeout.
const responseWait = 4 * time.Second

// awaitResponses waits until each client has its last response, for at most responseWait per client. It returns how
// many responses matched no request in flight.
func awaitResponses(clients []*fake.Client) (unmatched int) {
	for _, c := range clients {
		deadline := time.Now().Add(responseWait)
		for c.RequestsInFlight() > 0 && time.Now().Before(deadline) {
			time.Sleep(10 * time.Millisecond)
		}
		unmatched += c.UnmatchedResponses()
	}
	return unmatched
}
