package benchmark

import (
	"testing"
	"time"

	"crankhold/internal/fake"
)

func TestEachWorkerKeepsAHealthyAddress(t *testing.T) {
	bed, err := startTestbed(addressWorkers()[:3], nil)
	if err != nil {
		t.Fatal(err)
	}
	defer bed.Close()
	injector := newFaultInjector(bed.Site, 1)
	for range 50 {
		injector.startFault(start)
	}
	for _, worker := range bed.Site.Workers {
		if countHealthy(worker.Ports()) == 0 {
			t.Errorf("%s has no healthy address", worker.Name)
		}
	}
	if len(injector.faults) == 0 || injector.count != len(injector.faults) {
		t.Errorf("%d faults are in progress, %d were counted", len(injector.faults), injector.count)
	}
	if first := bed.Site.Workers[0].Ports(); countHealthy(first) != len(first) {
		t.Error("an address of the worker with the flapping address failed at random")
	}
	injector.run(time.Time{})
	for _, worker := range bed.Site.Workers {
		for _, port := range worker.Ports() {
			if port.Mode() != fake.ModeHealthy {
				t.Errorf("%s: address %s is still in mode %s", worker.Name, port.Addr, port.Mode())
			}
		}
	}
}
