package lang

import (
	"slices"

	"crankhold/internal/endpoint"
	"crankhold/internal/lang/syntax"
	"crankhold/internal/route"
	"crankhold/policy"
)

// networks are the networks whose addresses a worker block may give. Each has a setting of the same name.
var networks = []endpoint.Network{endpoint.Unix, endpoint.TCP6, endpoint.TCP4}

// workerType is the type of worker blocks. Their settings add to what discovery reports about a worker, and take
// precedence over it.
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
		preferSetting:          listOf(readOneOf(networkNames()...)),
		sameAsSetting:          single(readText),
	},
	nested: []*blockType{labelsType},
}

// labelsType is the type of blocks that contain labels, which operators choose freely.
var labelsType = &blockType{keyword: "labels", anySetting: true}

// networkNames returns the names of the networks that a worker block may give addresses of or prefer.
func networkNames() []string {
	var names []string
	for _, network := range networks {
		names = append(names, network.String())
	}
	return names
}

// readAddress returns a reader that accepts addresses of a network.
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

// workerBuilder builds the static entries of workers from worker blocks.
type workerBuilder struct {
	builderContext
	blocks  []*block
	workers []route.Worker // in the order of the files
}

// build adds a worker.
func (w *workerBuilder) build(b *block) {
	worker := route.Worker{
		Name:     b.name,
		Kind:     b.value(kindSetting).text,
		Zone:     b.value(zoneSetting).text,
		MemoryMB: b.value(memorySetting).number,
		AliasOf:  b.value(sameAsSetting).text,
		At:       fileLine(b.pos),
	}
	if b.hasValue(cellSetting) {
		worker.Cell = policy.KnownGroup(b.value(cellSetting).count)
	}
	worker.Addrs = w.buildAddresses(b)
	for _, v := range b.values(preferSetting) {
		network, _ := endpoint.ParseNetwork(v.text) // validated by readOneOf
		worker.Prefer = append(worker.Prefer, network)
	}
	worker.Labels = w.buildLabels(b)
	if w.platform != nil {
		sameText := func(a, b string) bool { return a == b }
		w.checkListed(b, kindSetting, "the platform's kinds", w.platform.Kinds, sameText)
		w.checkListed(b, zoneSetting, "the platform's zones", w.platform.Zones, endpoint.SameName)
	}
	w.blocks = append(w.blocks, b)
	w.workers = append(w.workers, worker)
}

// buildAddresses returns the addresses of a worker block, grouped by network. It reports a block with more than
// endpoint.MaxAddresses of them.
func (w *workerBuilder) buildAddresses(b *block) []endpoint.Addr {
	var addrs []endpoint.Addr
	for _, a := range blockAddresses(b) {
		addrs = append(addrs, a.addr)
		if len(addrs) == endpoint.MaxAddresses+1 {
			w.report.fault(b, a.pos, "worker %q has more than %d addresses", b.name, endpoint.MaxAddresses)
		}
	}
	return addrs
}

// buildLabels returns the labels of a worker block. It reports a label with more than one value.
func (w *workerBuilder) buildLabels(b *block) map[string]string {
	labels := map[string]string{}
	for _, nested := range b.nested {
		for _, label := range nested.settings.list {
			if len(label.values) == 0 {
				continue // reported when it was read
			}
			if len(label.values) > 1 {
				w.report.fault(nested, label.values[1].pos, "a worker has one value of the label %s", label.name)
			}
			if _, duplicate := labels[label.name]; duplicate {
				w.report.fault(nested, label.pos, "label %s is given twice", label.name)
			}
			labels[label.name] = label.values[0].text
		}
	}
	return labels
}

// checkListed reports values of a setting that are not on a list, unless the list is empty. same compares names. The
// values are plain names: only selectors may contain patterns.
func (w *workerBuilder) checkListed(
	b *block, setting, listName string, list []string, same func(a, b string) bool,
) {
	for _, v := range b.values(setting) {
		isListed := slices.ContainsFunc(list, func(name string) bool { return same(name, v.text) })
		if len(list) > 0 && !isListed {
			w.report.fault(b, v.pos, "%s %q is none of %s%s", setting, v.text, listName, suggest(v.text, list))
		}
	}
}

// check reports workers that are declared to be aliases of themselves, and addresses that two workers share.
func (w *workerBuilder) check() {
	addresses := duplicateAddressChecker{report: w.report, symbols: w.symbols, lastUses: map[endpoint.Addr]addressUse{}}
	for _, b := range w.blocks {
		if !w.symbols.isDefinition(b) {
			continue // duplicate name, already reported
		}
		if b.hasValue(sameAsSetting) && endpoint.SameName(b.value(sameAsSetting).text, b.name) {
			w.report.faultAtSetting(b, sameAsSetting, "worker %q is the same as itself", b.name)
		}
		addresses.add(b)
	}
}
