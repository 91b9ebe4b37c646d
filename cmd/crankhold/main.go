// Command crankhold is a function router: it applies the decision module of package policy to real connections. Further
// commands check, format, compare and explain its routes files. Without a command it serves requests.
package main

import (
	"os"

	"crankhold/internal/command"
)

func main() { os.Exit(command.Run(os.Args[1:], command.ProcessEnv())) }
