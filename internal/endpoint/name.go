package endpoint

import "strings"

// NameKey stands for a name of a worker or a zone. Such names come from DNS, which compares them without regard to the
// case of ASCII letters (RFC 4343): names that differ in that alone have equal keys. What is shown, logged or passed on
// keeps the spelling of the name itself.
type NameKey string

// KeyOf returns the key of a name.
func KeyOf(name string) NameKey {
	for i := range len(name) {
		if isUpper(name[i]) {
			return NameKey(lowerCase(name))
		}
	}
	return NameKey(name)
}

// SameName reports whether two names are equal to DNS.
func SameName(a, b string) bool { return KeyOf(a) == KeyOf(b) }

// HasPrefix reports whether the names of a key begin with those of another.
func (k NameKey) HasPrefix(prefix NameKey) bool { return strings.HasPrefix(string(k), string(prefix)) }

func isUpper(char byte) bool { return 'A' <= char && char <= 'Z' }

// lowerCase returns the name with its ASCII letters in lower case. All other bytes stay as they are.
func lowerCase(name string) string {
	lower := []byte(name)
	for i, char := range lower {
		if isUpper(char) {
			lower[i] = char - 'A' + 'a'
		}
	}
	return string(lower)
}
