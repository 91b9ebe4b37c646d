// Package config reads the platform's configuration of a function router: the JSON file that the environment variable
// EDGE_CONFIG names. Read checks the file and derives what the other packages need of it: the policy's configuration,
// bounds that follow from the limits on memory and descriptors, the names of classes and tenants, and the platform's
// settings that routes may not contradict.
//
// A file that can't be used is a FileError or a FieldError, whose text is one line. The command line calls Read at the
// start, and the server calls it again at a reload. A Config is not changed after Read and may be read by any
// goroutine.
package config
