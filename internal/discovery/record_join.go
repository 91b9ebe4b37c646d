package discovery

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"crankhold/internal/endpoint"
	"crankhold/policy"
)

// weightScale is the weight in an SRV record that corresponds to weight 1 of a worker.
const weightScale = 10

// MissingAddressError reports that the target of an SRV record has no usable address.
type MissingAddressError struct {
	Target string // a domain name whose first label is the worker's name
}

// Error names the target.
func (e *MissingAddressError) Error() string { return fmt.Sprintf("no address for %s", e.Target) }

// recordJoiner combines the records of a response into workers.
type recordJoiner struct {
	unixInTXT bool // see Config.UnixInTXT
}

// workers returns the workers of a response by name. A worker without a usable address keeps its addresses from the
// current list, or is left out if it has none there. If any worker has no usable address, the error is a
// MissingAddressError for the last of these workers.
func (j recordJoiner) workers(
	r response, current map[endpoint.NameKey]Worker,
) (map[endpoint.NameKey]Worker, error) {
	var missing error
	workers := map[endpoint.NameKey]Worker{}
	for _, service := range r.services {
		worker := j.worker(service, r)
		if len(worker.Addrs) == 0 {
			missing = &MissingAddressError{Target: service.target}
			worker.Addrs = current[endpoint.KeyOf(worker.Name)].Addrs
		}
		if len(worker.Addrs) == 0 {
			continue
		}
		worker.Addrs = worker.Addrs[:min(len(worker.Addrs), endpoint.MaxAddresses)]
		key := endpoint.KeyOf(worker.Name)
		if other, ok := workers[key]; ok {
			worker.forgetDifferences(other)
		}
		workers[key] = worker
	}
	return workers, missing
}

// worker combines the records of one worker. The target of its SRV record starts with the labels NAME.ZONE.
func (j recordJoiner) worker(service serviceRecord, r response) Worker {
	name, domain, _ := strings.Cut(service.target, ".")
	zone, _, _ := strings.Cut(domain, ".")
	worker := Worker{
		Name:   name,
		Addrs:  usableAddresses(r.addresses[endpoint.KeyOf(service.target)], service.port),
		Zone:   zone,
		State:  policy.Ready,
		Weight: float64(service.weight) / weightScale,
	}
	if service.priority > 0 {
		worker.State = policy.Draining
	}
	for _, text := range r.texts[endpoint.KeyOf(service.target)] {
		j.applyText(&worker, text)
	}
	return worker
}

// forgetDifferences makes the zone and the cell unknown where they differ from those of another entry of the same name:
// which of two processes the name means isn't known.
func (w *Worker) forgetDifferences(other Worker) {
	if !endpoint.SameName(w.Zone, other.Zone) {
		w.Zone = ""
	}
	if w.Cell != other.Cell {
		w.Cell = policy.Group{}
	}
}

// usableAddresses returns the addresses to which a connection can be made. Other addresses, such as multicast ones, are
// left out, because the same worker may have usable addresses, too.
func usableAddresses(hosts []netip.Addr, port uint16) []endpoint.Addr {
	var usable []endpoint.Addr
	for _, host := range hosts {
		addr, err := endpoint.ParseHost(netip.AddrPortFrom(host, port).String())
		if err == nil {
			usable = append(usable, addr)
		}
	}
	return usable
}

// applyText sets the field of a worker that a text NAME=VALUE of a TXT record describes. Unknown names and malformed
// values are ignored.
func (j recordJoiner) applyText(worker *Worker, text string) {
	name, value, _ := strings.Cut(text, "=")
	switch name {
	case "kind":
		worker.Kind = value
	case "unix":
		j.addUnixAddress(worker, value)
	case "cell":
		if cell, err := strconv.ParseInt(value, 10, 64); err == nil {
			worker.setCell(cell)
		}
	case "started":
		if started, err := strconv.ParseInt(value, 10, 64); err == nil {
			worker.Started = started
		}
	}
}

// addUnixAddress adds the path of a Unix domain socket if the extension is enabled and the path is usable.
func (j recordJoiner) addUnixAddress(worker *Worker, path string) {
	if !j.unixInTXT {
		return
	}
	if addr, err := endpoint.Parse(endpoint.Unix, path); err == nil {
		worker.Addrs = append(worker.Addrs, addr)
	}
}
