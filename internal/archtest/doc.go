// Package archtest has no code of its own: its test holds the import graph to the design.
package archtest
