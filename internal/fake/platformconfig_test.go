package fake

import (
	"encoding/json"
	"reflect"
	"testing"
)

func TestConfigListsTheSitesWorkers(t *testing.T) {
	site := newSite(t, WorkerConfig{Kind: "std", Zone: "here", Cell: 2}, nil)
	worker := listedEndpoint{
		Cell:   2,
		Kind:   "std",
		Addr:   site.Workers[0].Addr,
		Name:   "s-1",
		Zone:   "here",
		State:  "Ready",
		Weight: 1,
	}
	for _, tt := range []struct {
		name string
		text []byte
		want endpointList
	}{
		{
			"with workers",
			site.Config("127.0.0.1:1"),
			endpointList{Complete: true, Members: []listedEndpoint{worker}, Revision: 1},
		},
		{
			"without workers",
			site.ConfigWithoutWorkers("127.0.0.1:1"),
			endpointList{Complete: true, Members: []listedEndpoint{}},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var config platformConfig
			if err := json.Unmarshal(tt.text, &config); err != nil {
				t.Fatal(err)
			}
			if got := config.Known.Batch[0].Topology; !reflect.DeepEqual(got, tt.want) {
				t.Errorf("known endpoints %+v, want %+v", got, tt.want)
			}
			if !reflect.DeepEqual(config.Settings, site.settings()) {
				t.Errorf("settings %+v", config.Settings)
			}
		})
	}
}
