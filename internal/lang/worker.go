package lang

import (
	"crankhold/internal/endpoint"
	"crankhold/internal/lang/syntax"
	"crankhold/internal/route"
)

// workerKind adds to what the directory tells of a worker; what it says goes first.
var workerKind = &kind{word: "worker", label: true, settings: map[string]setting{
	"kind": {text, false}, "zone": {text, false}, "cell": {count(0), false}, "memory": {memory, false},
	"unix": {address(endpoint.Unix), true}, "tcp6": {address(endpoint.TCP6), true}, "tcp4": {address(endpoint.TCP4), true},
	"prefer": {oneOf("unix", "tcp6", "tcp4"), true}, "same-as": {text, false},
}, blocks: []*kind{labelsKind}, build: buildWorker, check: checkWorkers}

// address takes an address of a network.
func address(n endpoint.Network) reads {
	return func(v syntax.Value) (value, string) {
		s, wrong := text(v)
		if wrong == "" {
			if _, err := endpoint.Parse(n, s.text); err != nil {
				wrong = "takes an address: " + err.Error()
			}
		}
		return s, wrong
	}
}

// labelsKind holds labels of the operators' own.
var labelsKind = &kind{word: "labels", free: true}

func buildWorker(c *checker, b *block) {
	w := route.Worker{Name: b.label, Kind: b.one("kind").text, Zone: b.one("zone").text, Cell: -1, MemoryMB: b.one("memory").num,
		Labels: map[string]string{}, At: place(b.at)}
	if b.has("cell") {
		w.Cell = b.one("cell").count
	}
	for n := endpoint.Unix; n <= endpoint.TCP4; n++ {
		for _, v := range b.set[n.String()] {
			a, _ := endpoint.Parse(n, v.text) // checked when it was read
			if w.Addrs = append(w.Addrs, a); len(w.Addrs) == endpoint.MaxAddresses+1 {
				c.fault(b, v.at, "worker %q has more than %d addresses", w.Name, endpoint.MaxAddresses)
			}
		}
	}
	for _, v := range b.set["prefer"] {
		n, _ := endpoint.ParseNetwork(v.text)
		w.Prefer = append(w.Prefer, n)
	}
	w.Same = b.one("same-as").text
	for _, l := range b.blocks {
		for name, v := range l.set {
			if len(v) > 1 {
				c.fault(l, v[1].at, "a worker has one value of the label %s", name)
			}
			if _, again := w.Labels[name]; again {
				c.fault(l, l.places[name], "label %s is given twice", name)
			}
			w.Labels[name] = v[0].text
		}
	}
	if c.platform != nil {
		c.among(b, "kind", "the platform's kinds", c.platform.Kinds)
		c.among(b, "zone", "the platform's zones", c.platform.Zones)
	}
	c.res.Spec.Workers = append(c.res.Spec.Workers, w)
}

// checkWorkers checks who is said to be the same worker as whom, and that no address leads to two.
func checkWorkers(c *checker) {
	type claim struct {
		name string
		at   syntax.Pos
	}
	claimed := map[endpoint.Addr]claim{}
	for _, w := range c.res.Spec.Workers {
		b := c.names["worker"][w.Name]
		if place(b.at) != w.At {
			continue // defined twice
		}
		if w.Same == w.Name && w.Same != "" {
			c.fault(b, b.one("same-as").at, "worker %q is the same as itself", w.Name)
		}
		for n := endpoint.Unix; n <= endpoint.TCP4; n++ {
			for _, v := range b.set[n.String()] {
				a, _ := endpoint.Parse(n, v.text)
				if first, ok := claimed[a]; ok && first.name != w.Name && w.Same != first.name && c.names["worker"][first.name].one("same-as").text != w.Name {
					c.fault(b, v.at, "%v is an address of worker %q too, at %v: say same-as where they are one", a, first.name, first.at)
				}
				claimed[a] = claim{w.Name, v.at}
			}
		}
	}
}

// among checks that a setting names one of a list, where there is one.
func (c *checker) among(b *block, set, what string, list []string) {
	for _, v := range b.set[set] {
		if len(list) > 0 && !matchesOne(v.text, list) {
			c.fault(b, v.at, "%s %q is none of %s%s", set, v.text, what, suggest(v.text, list))
		}
	}
}

// place is where a block stands, as file:line.
func place(at syntax.Pos) string {
	s := at.String()
	for i := len(s) - 1; i > 0; i-- {
		if s[i] == ':' {
			return s[:i]
		}
	}
	return s
}
