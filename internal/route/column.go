package route

import (
	"cmp"
	"encoding/binary"
	"slices"
)

// columnID identifies a column of a columnTable. Equal columns have equal ids.
type columnID int32

// tenantValue is the value of a column for one tenant.
type tenantValue struct {
	tenant int32 // index into requestSpace.tenants
	value  int32
}

// column holds a value for each tenant: special for some, and other for the rest and for requests without a tenant.
// What requests of one pattern, class and front lead to is such a column. Most tenants have the same value, so only
// those that differ are listed.
type column struct {
	other   int32
	special []tenantValue // sorted by tenant; no value equals other
}

// columnTable stores each distinct column once, so that patterns with equal routes share their columns.
type columnTable struct {
	columns []column
	ids     map[string]columnID // by encoding
}

func newColumnTable() *columnTable { return &columnTable{ids: map[string]columnID{}} }

// intern returns the id of a column. It drops special values that equal the others'. The column must not be changed
// afterwards.
func (t *columnTable) intern(c column) columnID {
	c.special = slices.DeleteFunc(c.special, func(v tenantValue) bool { return v.value == c.other })
	key := encodeValues(nil, c.other, c.special)
	if id, ok := t.ids[string(key)]; ok {
		return id
	}
	id := columnID(len(t.columns))
	t.columns = append(t.columns, column{other: c.other, special: slices.Clip(c.special)})
	t.ids[string(key)] = id
	return id
}

// encodeValues appends an encoding of a column to b. Equal columns have equal encodings.
func encodeValues(b []byte, other int32, special []tenantValue) []byte {
	b = binary.NativeEndian.AppendUint32(b, uint32(other))
	for _, v := range special {
		b = binary.NativeEndian.AppendUint32(b, uint32(v.tenant))
		b = binary.NativeEndian.AppendUint32(b, uint32(v.value))
	}
	return b
}

// valueOf returns the value for a tenant.
func (c *column) valueOf(tenant int32) int32 {
	index, found := slices.BinarySearchFunc(c.special, tenant, func(v tenantValue, tenant int32) int {
		return cmp.Compare(v.tenant, tenant)
	})
	if found {
		return c.special[index].value
	}
	return c.other
}

// overridden returns the special values of c with those of overrides, which take precedence. Both are sorted by tenant.
func (c *column) overridden(overrides []tenantValue) []tenantValue {
	merged := make([]tenantValue, 0, len(c.special)+len(overrides))
	rest := c.special
	for _, v := range overrides {
		for len(rest) > 0 && rest[0].tenant < v.tenant {
			merged = append(merged, rest[0])
			rest = rest[1:]
		}
		if len(rest) > 0 && rest[0].tenant == v.tenant {
			rest = rest[1:]
		}
		merged = append(merged, v)
	}
	return append(merged, rest...)
}
