package lang

import (
	"crankhold/internal/lang/syntax"
	"crankhold/internal/route"
)

// workerKind adds to what the directory tells of a worker; what it says goes first.
var workerKind = &kind{word: "worker", label: true, settings: map[string]setting{
	"kind": {text, false}, "zone": {text, false}, "cell": {count(0), false}, "memory": {memory, false},
}, blocks: []*kind{labelsKind}, build: buildWorker}

// labelsKind holds labels of the operators' own.
var labelsKind = &kind{word: "labels", free: true}

func buildWorker(c *checker, b *block) {
	w := route.Worker{Name: b.label, Kind: b.one("kind").text, Zone: b.one("zone").text, Cell: -1, MemoryMB: b.one("memory").num,
		Labels: map[string]string{}, At: place(b.at)}
	if b.has("cell") {
		w.Cell = b.one("cell").count
	}
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
