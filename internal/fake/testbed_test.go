package fake

import (
	"os"
	"testing"
)

func TestSocketsOfATestbedAreInItsFolder(t *testing.T) {
	bed, err := StartTestbed(TestbedConfig{
		Prefix: "crankhold-test-",
		Workers: []WorkerConfig{{
			Name:      "s-1",
			Addr:      "127.0.0.1:0",
			MoreAddrs: []Address{{NetworkUnix, "w.sock"}},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer bed.Close()
	socket := bed.Site.Workers[0].Ports()[1]
	if socket.Addr != bed.Path("w.sock") || !responds(socket) {
		t.Errorf("it listens on %s", socket.Addr)
	}
	bed.Close()
	if _, err := os.Stat(bed.Dir); !os.IsNotExist(err) {
		t.Errorf("the folder was not removed: %v", err)
	}
}
