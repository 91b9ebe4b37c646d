package route

import (
	"encoding/binary"
	"slices"
)

// tenantIndexSet is a set of indexes of tenants. Equal sets have equal fields.
type tenantIndexSet struct {
	others     bool    // has requestSpace.otherTenantIndex
	complement bool    // has all named tenants but those listed
	listed     []int32 // sorted; at most half of the named tenants
}

// newTenantIndexSet returns a set of named tenants: those listed or, with complement, all but those listed. It may keep
// listed, which must be sorted. total is the number of named tenants.
func newTenantIndexSet(others, complement bool, listed []int32, total int) tenantIndexSet {
	size := len(listed)
	if complement {
		size = total - size
	}
	if wantComplement := size > total-size; wantComplement != complement {
		listed = complementOf(listed, total)
		complement = wantComplement
	}
	return tenantIndexSet{others: others, complement: complement, listed: listed}
}

// complementOf returns the indexes below total that are not listed. listed must be sorted.
func complementOf(listed []int32, total int) []int32 {
	rest := make([]int32, 0, total-len(listed))
	for index := range int32(total) {
		if len(listed) > 0 && listed[0] == index {
			listed = listed[1:]
			continue
		}
		rest = append(rest, index)
	}
	return rest
}

// key returns a text that is equal for equal sets.
func (s tenantIndexSet) key() string {
	b := make([]byte, 2, 2+4*len(s.listed))
	if s.others {
		b[0] = 1
	}
	if s.complement {
		b[1] = 1
	}
	for _, index := range s.listed {
		b = binary.NativeEndian.AppendUint32(b, uint32(index))
	}
	return string(b)
}

// last returns the largest index of a set that is not empty. total is the number of named tenants.
func (s tenantIndexSet) last(total int) int {
	if s.others {
		return total
	}
	if !s.complement {
		return int(s.listed[len(s.listed)-1])
	}
	last := total - 1
	for _, excluded := range slices.Backward(s.listed) {
		if int(excluded) != last {
			break
		}
		last--
	}
	return last
}

// tenantSet describes a set with the names of its tenants.
func (s *requestSpace) tenantSet(set tenantIndexSet) TenantSet {
	s.work.add(len(s.tenants))
	described := TenantSet{Others: set.others}
	listed := set.listed
	for index, name := range s.tenants {
		isListed := len(listed) > 0 && int(listed[0]) == index
		if isListed {
			listed = listed[1:]
		}
		if isListed != set.complement {
			described.Names = append(described.Names, name)
		} else {
			described.Except = append(described.Except, name)
		}
	}
	described.Any = set.others && len(described.Except) == 0
	return described
}
