// Command crankhold is the function router: the decision module of package policy on real sockets, and the
// tools for its configuration. Without arguments it serves.
package main

import (
	"os"

	"crankhold/internal/command"
)

func main() { os.Exit(command.Run(os.Args[1:], command.ProcessEnv())) }
