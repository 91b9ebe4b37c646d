package lang

import (
	"crankhold/internal/endpoint"
	"crankhold/internal/lang/syntax"
	"crankhold/internal/route"
)

// networks are those of which a worker block may give addresses; a setting has each one's name.
var networks = []endpoint.Network{endpoint.Unix, endpoint.TCP6, endpoint.TCP4}

// workerType adds to what discovery says of a worker; what it says takes precedence.
var workerType = &blockType{
	keyword: workerKeyword,
	named:   true,
	settings: map[string]settingType{
		kindSetting:            single(readText),
		zoneSetting:            single(readText),
		cellSetting:            single(readCount(0)),
		memorySetting:          single(readMemory),
		endpoint.Unix.String(): listOf(readAddress(endpoint.Unix)),
		endpoint.TCP6.String(): listOf(readAddress(endpoint.TCP6)),
		endpoint.TCP4.String(): listOf(readAddress(endpoint.TCP4)),
		preferSetting:          listOf(readOneOf(endpoint.Unix.String(), endpoint.TCP6.String(), endpoint.TCP4.String())),
		sameAsSetting:          single(readText),
	},
	nested: []*blockType{labelsType},
	build:  buildWorker,
	check:  checkWorkers,
}

// labelsType holds labels of the operators' own.
var labelsType = &blockType{keyword: "labels", anySetting: true}

// readAddress reads an address of a network.
func readAddress(network endpoint.Network) valueReader {
	return func(raw syntax.Value) (value, error) {
		v, err := readText(raw)
		if err != nil {
			return v, err
		}
		if _, err := endpoint.Parse(network, v.text); err != nil {
			return v, invalidValue("takes an address: %v", err)
		}
		return v, nil
	}
}

func buildWorker(c *checker, b *block) {
	w := route.Worker{
		Name:     b.name,
		Kind:     b.value(kindSetting).text,
		Zone:     b.value(zoneSetting).text,
		Cell:     route.UnknownCell,
		MemoryMB: b.value(memorySetting).number,
		Same:     b.value(sameAsSetting).text,
		At:       fileLine(b.pos),
	}
	if b.hasValue(cellSetting) {
		w.Cell = b.value(cellSetting).count
	}
	w.Addrs = c.buildAddresses(b)
	for _, v := range b.values[preferSetting] {
		network, _ := endpoint.ParseNetwork(v.text) // checked when it was read
		w.Prefer = append(w.Prefer, network)
	}
	w.Labels = c.buildLabels(b)
	if c.platform != nil {
		c.checkListed(b, kindSetting, "the platform's kinds", c.platform.Kinds)
		c.checkListed(b, zoneSetting, "the platform's zones", c.platform.Zones)
	}
	c.result.Spec.Workers = append(c.result.Spec.Workers, w)
}

// buildAddresses returns the addresses of a worker block, of one network after the other.
func (c *checker) buildAddresses(b *block) []endpoint.Addr {
	var addrs []endpoint.Addr
	for _, network := range networks {
		for _, v := range b.values[network.String()] {
			addr, _ := endpoint.Parse(network, v.text) // checked when it was read
			addrs = append(addrs, addr)
			if len(addrs) == endpoint.MaxAddresses+1 {
				c.report.fault(b, v.pos, "worker %q has more than %d addresses", b.name, endpoint.MaxAddresses)
			}
		}
	}
	return addrs
}

// buildLabels returns the labels of a worker block, each of one value.
func (c *checker) buildLabels(b *block) map[string]string {
	labels := map[string]string{}
	for _, nested := range b.nested {
		for name, values := range nested.values {
			if len(values) > 1 {
				c.report.fault(nested, values[1].pos, "a worker has one value of the label %s", name)
			}
			if _, again := labels[name]; again {
				c.report.fault(nested, nested.positions[name], "label %s is given twice", name)
			}
			labels[name] = values[0].text
		}
	}
	return labels
}

// addressClaim is a worker that an address leads to.
type addressClaim struct {
	worker string
	pos    syntax.Pos
}

// checkWorkers checks which workers are aliases of each other, and that no address leads to two workers.
func checkWorkers(c *checker) {
	claims := map[endpoint.Addr]addressClaim{}
	for _, w := range c.result.Spec.Workers {
		b := c.symbols.find(workerKeyword, w.Name)
		if fileLine(b.pos) != w.At {
			continue
		}
		if w.Same == w.Name && w.Same != "" {
			c.report.faultAtSetting(b, sameAsSetting, "worker %q is the same as itself", w.Name)
		}
		c.checkAddresses(b, claims)
	}
}

// checkAddresses reports addresses of a worker block that other workers claim, and claims them.
func (c *checker) checkAddresses(b *block, claims map[endpoint.Addr]addressClaim) {
	for _, network := range networks {
		for _, v := range b.values[network.String()] {
			addr, _ := endpoint.Parse(network, v.text) // checked when it was read
			first, claimed := claims[addr]
			if claimed && first.worker != b.name && !c.areAliases(b.name, first.worker) {
				c.report.fault(b, v.pos, "%v is an address of worker %q too, at %v: say same-as where they are one", addr, first.worker, first.pos)
			}
			claims[addr] = addressClaim{b.name, v.pos}
		}
	}
}

// areAliases reports whether one of two worker blocks says that it is the same worker as the other.
func (c *checker) areAliases(a, b string) bool {
	sameAs := func(name string) string { return c.symbols.find(workerKeyword, name).value(sameAsSetting).text }
	return sameAs(a) == b || sameAs(b) == a
}

// checkListed checks that a setting's values are on a list, where there is one.
func (c *checker) checkListed(b *block, setting, listName string, list []string) {
	for _, v := range b.values[setting] {
		if len(list) > 0 && !matchesAnyOf(v.text, list) {
			c.report.fault(b, v.pos, "%s %q is none of %s%s", setting, v.text, listName, suggest(v.text, list))
		}
	}
}
