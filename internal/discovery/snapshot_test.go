package discovery

import (
	"errors"
	"testing"
)

// The error for an invalid worker in the configuration contains the worker's id and the key of the invalid value.
func TestSnapshotErrors(t *testing.T) {
	for _, test := range []struct {
		name   string
		member member
		field  string
		text   string
	}{
		{"phase", member{Name: "s-1", Addr: "10.1.0.1:80", State: "Leaving"}, "phase", `known: worker "s-1": unknown phase "Leaving"`},
		{"no phase", member{Name: "s-2", Addr: "10.1.0.1:80"}, "phase", `known: worker "s-2": unknown phase ""`},
		{"address", member{Name: "s-3", Addr: "nowhere", State: "Ready"}, "host_port", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			snapshot := Snapshot{Changes: make([]event, 1)}
			snapshot.Changes[0].List.Members = []member{test.member}
			client := New(Config{Addr: "127.0.0.1:53", Seed: 1, ListChanged: func([]Worker) {}})
			err := client.LoadSnapshot(snapshot)
			var snapshotError *SnapshotError
			if !errors.As(err, &snapshotError) || snapshotError.Worker != test.member.Name || snapshotError.Field != test.field {
				t.Fatalf("error %v", err)
			}
			if test.text != "" && err.Error() != test.text {
				t.Errorf("error %q, want %q", err, test.text)
			}
		})
	}
}
