package discovery

import (
	"fmt"
	"log/slog"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"crankhold/internal/endpoint"
	"crankhold/policy"
)

const (
	// serialResetAfter is how long a server may send nothing but outdated lists before it counts as one that numbers
	// its lists anew. All it has to announce counts as announced within 7 s, so it can't be late for twice as long.
	serialResetAfter = 14 * time.Second

	// weightScale is how many units of an SRV record's weight make a worker of weight 1.
	weightScale = 10
)

// MissingAddressError says that a service record names a target without a usable address.
type MissingAddressError struct {
	Target string // a domain name that begins with the worker's name
}

// Error names the target.
func (e *MissingAddressError) Error() string { return fmt.Sprintf("no address for %s", e.Target) }

// serialNewer reports whether a comes after b by the serial number arithmetic of RFC 1982, section 3.2.
func serialNewer(a, b uint32) bool { return int32(a-b) > 0 }

// apply replaces the list by that of a response if it is newer, or if it completes the current one. A
// MissingAddressError says that the list was applied, or stays in force, without some worker's new addresses.
func (c *Client) apply(r response) error {
	if !c.replaces(r.serial) {
		return nil
	}
	c.staleSince = 0
	workers, err := c.workersOf(r)
	if err != nil && r.serial == c.serial { // no better than the current list of this number
		return err
	}
	c.serial = r.serial
	c.incomplete = err != nil
	c.workers = workers
	c.notify()
	return err
}

// replaces reports whether a list of that serial number replaces the current one.
func (c *Client) replaces(serial uint32) bool {
	if serialNewer(serial, c.serial) || c.serialReset(serial) {
		return true
	}
	return serial == c.serial && c.incomplete
}

// serialReset reports whether a lower serial number is one of a server that numbers its lists anew. It is called for
// each response that is not newer, since it keeps the time for which only lower numbers have come.
func (c *Client) serialReset(serial uint32) bool {
	if !serialNewer(c.serial, serial) {
		c.staleSince = 0
		return false
	}
	if c.staleSince == 0 {
		c.staleSince = c.now
	}
	if c.now-c.staleSince < serialResetAfter {
		return false
	}
	slog.Warn("discovery_serial_reset", slog.String("addr", c.addr), slog.Uint64("before", uint64(c.serial)), slog.Uint64("serial", uint64(serial)))
	c.staleSince = 0
	return true
}

// workersOf returns the workers of a response by name. If some have no usable address it returns the others with a
// MissingAddressError for the last of them.
func (c *Client) workersOf(r response) (map[string]Worker, error) {
	var missing error
	workers := map[string]Worker{}
	for _, service := range r.services {
		w := c.workerOf(service, r)
		if len(w.Addrs) == 0 {
			missing = &MissingAddressError{Target: service.target}
			w.Addrs = c.workers[w.Name].Addrs
		}
		if len(w.Addrs) == 0 {
			continue
		}
		w.Addrs = w.Addrs[:min(len(w.Addrs), endpoint.MaxAddresses)]
		workers[w.Name] = w
	}
	return workers, missing
}

// workerOf joins the records of one worker. Its target is NAME.ZONE and further labels.
func (c *Client) workerOf(service serviceRecord, r response) Worker {
	w := Worker{State: policy.Ready, Weight: float64(service.weight) / weightScale}
	if service.priority > 0 {
		w.State = policy.Draining
	}
	name, domain, _ := strings.Cut(service.target, ".")
	w.Name = name
	w.Zone, _, _ = strings.Cut(domain, ".")
	w.Addrs = usableAddresses(r.addresses[service.target], service.port)
	for _, text := range r.texts[service.target] {
		c.applyText(&w, text)
	}
	return w
}

// usableAddresses returns the addresses that a connection can be made to. Others, such as multicast ones, are left out:
// the same worker may have usable ones besides.
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

// applyText sets what a text NAME=VALUE of a TXT record says of a worker. Unknown names and malformed values are
// ignored.
func (c *Client) applyText(w *Worker, text string) {
	name, value, _ := strings.Cut(text, "=")
	switch name {
	case "kind":
		w.Kind = value
	case "unix":
		c.addUnixAddress(w, value)
	case "cell":
		if cell, err := strconv.ParseInt(value, 10, 64); err == nil {
			w.Cell = int(cell)
		}
	case "started":
		if started, err := strconv.ParseInt(value, 10, 64); err == nil {
			w.Started = started
		}
	}
}

// addUnixAddress adds the path of a Unix domain socket, where the extension is on and the path is usable.
func (c *Client) addUnixAddress(w *Worker, path string) {
	if !c.UnixInTXT {
		return
	}
	if addr, err := endpoint.Parse(endpoint.Unix, path); err == nil {
		w.Addrs = append(w.Addrs, addr)
	}
}
