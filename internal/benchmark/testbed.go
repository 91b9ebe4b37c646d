package benchmark

import (
	"fmt"
	"time"

	"crankhold/internal/fake"
)

// testbedPrefix begins the names of the experiments' temporary folders.
const testbedPrefix = "crankhold-benchmark-"

// startTestbed starts the fakes around a router. The router is started by startRouterOn.
func startTestbed(workers []fake.WorkerConfig, record func(fake.Event)) (*fake.Testbed, error) {
	return fake.StartTestbed(fake.TestbedConfig{Prefix: testbedPrefix, Workers: workers, Record: record})
}

// startRouterOn starts a program as the router of a testbed, with further environment variables, and blocks until it
// accepts connections.
func startRouterOn(bed *fake.Testbed, program string, env ...string) (*process, error) {
	listen, configPath, err := bed.WriteConfig("config.json")
	if err != nil {
		return nil, err
	}
	return startRouter(program, listen, append([]string{"EDGE_CONFIG=" + configPath}, env...)...)
}

// workerConfigs returns configurations that are alike but for the name, which is made from the number by a format.
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

// dialClients connects clients to a router.
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

// responseWait is how long clients wait for their last responses: longer than any request's timeout.
const responseWait = 4 * time.Second

// awaitResponses waits until clients have their last responses, up to a limit each, and returns how many came to no
// request in flight.
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
