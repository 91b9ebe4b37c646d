package fake_test

import (
	"fmt"

	"crankhold/internal/fake"
)

// A testbed contains everything that is needed to start a router: workers, a discovery server, and a configuration that
// refers to them.
func Example() {
	bed, err := fake.StartTestbed(fake.TestbedConfig{
		Prefix: "crankhold-example-",
		Workers: []fake.WorkerConfig{
			{Name: "s-1", Addr: "127.0.0.1:0", Kind: "std", Zone: "here", Warm: true, Lanes: 4, Queue: 32},
			{Name: "s-2", Addr: "127.0.0.1:0", Kind: "std", Zone: "here", Warm: true, Lanes: 4, Queue: 32},
		},
		Record: func(e fake.Event) { fmt.Println(e.Worker.Name, e.Kind, e.ID) },
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer bed.Close()
	listen, configPath, err := bed.WriteConfig("config.json")
	if err != nil {
		fmt.Println(err)
		return
	}
	_ = configPath // start the router with EDGE_CONFIG=configPath
	_ = listen     // then connect a client to it with fake.Dial(listen)

	for _, endpoint := range bed.Site.Endpoints() {
		fmt.Println(endpoint.Name, "is listed as a worker of kind", endpoint.Kind)
	}
	bed.Site.Workers[0].Kill()
	fmt.Println(bed.Site.Workers[0].Name, "has the mode", bed.Site.Workers[0].Ports()[0].Mode())
	// Output:
	// s-1 is listed as a worker of kind std
	// s-2 is listed as a worker of kind std
	// s-1 has the mode refuse
}
