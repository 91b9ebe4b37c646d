package lang

import (
	"crankhold/internal/endpoint"
	"crankhold/internal/lang/syntax"
)

// workerAddress is an address that a worker block gives, with its position in the file.
type workerAddress struct {
	addr endpoint.Addr
	pos  syntax.Pos
}

// blockAddresses returns the addresses of a worker block, grouped by network.
func blockAddresses(b *block) []workerAddress {
	var addresses []workerAddress
	for _, network := range networks {
		for _, v := range b.values(network.String()) {
			addr, _ := endpoint.Parse(network, v.text) // validated by readAddress
			addresses = append(addresses, workerAddress{addr, v.pos})
		}
	}
	return addresses
}

// addressUse records that a worker has an address, and the position of the address in its block.
type addressUse struct {
	worker string
	pos    syntax.Pos
}

// duplicateAddressChecker reports addresses that two workers share, unless one of them is an alias of the other.
type duplicateAddressChecker struct {
	report   *reporter
	symbols  *symbolTable
	lastUses map[endpoint.Addr]addressUse // the last use so far of each address
}

// add records the addresses of a worker block, and reports those that another worker has too.
func (c *duplicateAddressChecker) add(b *block) {
	for _, a := range blockAddresses(b) {
		previous, found := c.lastUses[a.addr]
		if found && previous.worker != b.name && !c.areAliases(b.name, previous.worker) {
			c.report.fault(b, a.pos, "%v is an address of worker %q too, at %v: say same-as where they are one",
				a.addr, previous.worker, previous.pos)
		}
		c.lastUses[a.addr] = addressUse{b.name, a.pos}
	}
}

// areAliases reports whether one of two worker blocks declares that it is the same worker as the other.
func (c *duplicateAddressChecker) areAliases(a, b string) bool {
	sameAs := func(name string) string { return c.symbols.find(workerKeyword, name).value(sameAsSetting).text }
	return endpoint.SameName(sameAs(a), b) || endpoint.SameName(sameAs(b), a)
}
