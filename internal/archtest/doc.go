// Package archtest contains only tests. They check that the code keeps the architecture's rules on imports, and that
// the documentation pages agree with the code.
package archtest
