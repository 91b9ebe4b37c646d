package lang

import (
	"crankhold/internal/endpoint"
	"crankhold/internal/lang/syntax"
	"crankhold/internal/route"
)

// workerType adds to what the directory tells of a worker; what it says goes first.
var workerType = &blockType{keyword: "worker", named: true, settings: map[string]settingType{
	"kind": {readText, false}, "zone": {readText, false}, "cell": {readCount(0), false}, "memory": {readMemory, false},
	"unix": {readAddress(endpoint.Unix), true}, "tcp6": {readAddress(endpoint.TCP6), true}, "tcp4": {readAddress(endpoint.TCP4), true},
	"prefer": {readOneOf("unix", "tcp6", "tcp4"), true}, "same-as": {readText, false},
}, blocks: []*blockType{labelsType}, build: buildWorker, check: checkWorkers}

// readAddress takes an readAddress of a network.
func readAddress(n endpoint.Network) valueReader {
	return func(v syntax.Value) (value, string) {
		s, wrong := readText(v)
		if wrong == "" {
			if _, err := endpoint.Parse(n, s.text); err != nil {
				wrong = "takes an address: " + err.Error()
			}
		}
		return s, wrong
	}
}

// labelsType holds labels of the operators' own.
var labelsType = &blockType{keyword: "labels", anySetting: true}

func buildWorker(c *checker, b *block) {
	w := route.Worker{Name: b.name, Kind: b.value("kind").text, Zone: b.value("zone").text, Cell: -1, MemoryMB: b.value("memory").number,
		Labels: map[string]string{}, At: fileLine(b.pos)}
	if b.hasValue("cell") {
		w.Cell = b.value("cell").count
	}
	for n := endpoint.Unix; n <= endpoint.TCP4; n++ {
		for _, v := range b.values[n.String()] {
			a, _ := endpoint.Parse(n, v.text) // checked when it was read
			if w.Addrs = append(w.Addrs, a); len(w.Addrs) == endpoint.MaxAddresses+1 {
				c.fault(b, v.pos, "worker %q has more than %d addresses", w.Name, endpoint.MaxAddresses)
			}
		}
	}
	for _, v := range b.values["prefer"] {
		n, _ := endpoint.ParseNetwork(v.text)
		w.Prefer = append(w.Prefer, n)
	}
	w.Same = b.value("same-as").text
	for _, l := range b.blocks {
		for name, v := range l.values {
			if len(v) > 1 {
				c.fault(l, v[1].pos, "a worker has one value of the label %s", name)
			}
			if _, again := w.Labels[name]; again {
				c.fault(l, l.positions[name], "label %s is given twice", name)
			}
			w.Labels[name] = v[0].text
		}
	}
	if c.platform != nil {
		c.checkListed(b, "kind", "the platform's kinds", c.platform.Kinds)
		c.checkListed(b, "zone", "the platform's zones", c.platform.Zones)
	}
	c.result.Spec.Workers = append(c.result.Spec.Workers, w)
}

// checkWorkers checks who is said to be the same worker as whom, and that no address leads to two.
func checkWorkers(c *checker) {
	type claim struct {
		name string
		at   syntax.Pos
	}
	claimed := map[endpoint.Addr]claim{}
	for _, w := range c.result.Spec.Workers {
		b := c.blocks["worker"][w.Name]
		if fileLine(b.pos) != w.At {
			continue // defined twice
		}
		if w.Same == w.Name && w.Same != "" {
			c.fault(b, b.value("same-as").pos, "worker %q is the same as itself", w.Name)
		}
		for n := endpoint.Unix; n <= endpoint.TCP4; n++ {
			for _, v := range b.values[n.String()] {
				a, _ := endpoint.Parse(n, v.text)
				if first, ok := claimed[a]; ok && first.name != w.Name && w.Same != first.name && c.blocks["worker"][first.name].value("same-as").text != w.Name {
					c.fault(b, v.pos, "%v is an address of worker %q too, at %v: say same-as where they are one", a, first.name, first.at)
				}
				claimed[a] = claim{w.Name, v.pos}
			}
		}
	}
}

// checkListed checks that a setting names one of a list, where there is one.
func (c *checker) checkListed(b *block, set, what string, list []string) {
	for _, v := range b.values[set] {
		if len(list) > 0 && !matchesAnyOf(v.text, list) {
			c.fault(b, v.pos, "%s %q is none of %s%s", set, v.text, what, suggest(v.text, list))
		}
	}
}

// fileLine is where a block stands, as file:line.
func fileLine(at syntax.Pos) string {
	s := at.String()
	for i := len(s) - 1; i > 0; i-- {
		if s[i] == ':' {
			return s[:i]
		}
	}
	return s
}
