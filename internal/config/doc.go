// Package config reads the platform's configuration of a function router: the JSON file that the environment variable
// EDGE_CONFIG names. Read checks the file. The Config that it returns gives the other packages the policy's
// configuration, bounds that follow from the limits on memory and descriptors, the names of classes and tenants, and
// the platform's settings that routes may not contradict.
//
// For a file that can't be used, Read returns a FileError or a FieldError, whose text has one line. The command line
// calls Read at the start, and the server calls it again at each reload. A Config does not change after Read returns
// it, so any goroutine may use it.
package config
