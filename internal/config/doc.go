// Package config reads what the platform tells a function router: the JSON file that the environment variable
// EDGE_CONFIG names. Read checks the file and derives what the other packages need of it: the policy's configuration,
// bounds that follow from the limits on memory and descriptors, the names of classes and tenants, and what routes may
// not contradict.
//
// A file that can't be used is a FileError or a FieldError, whose text is one line. The server and the command line
// call this package.
package config
