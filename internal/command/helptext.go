package command

import "github.com/alecthomas/kong"

// variables are what the tags of commands and flags refer to as ${name}: texts that are too long for a tag, and
// defaults that the code needs too.
var helpVariables = kong.Vars{
	"default_log_level": defaultLogLevel,

	"log_level_help": "Lowest level of log lines: debug, info, warn or error.",
	"platform_help":  "Check against the settings in the platform's JSON configuration too.",

	"serve_help": "Serve calls. The platform's JSON configuration is the file that EDGE_CONFIG names. " +
		"This is what the program does without arguments.",
	"check_help": "Check routes files and say all that is wrong with them. " +
		"Exits with 1 where something is.",
	"fmt_help": "Print routes files in their one form. " +
		"With --check, exits with 1 where a file is not in it.",
	"diff_help": "Say what a routes file changes in behaviour against another. " +
		"Exits with 1 where something changes.",
	"explain_help": "Say which route, pool and policy a call meets, and the lines that say so. " +
		"Exits with 1 where it is refused.",
	"demo_help": "Serve a directory, three stand-in workers, a router and a trickle of calls in one process, " +
		"and show what happens until it is interrupted.",
	"version_help": "Print the program's version.",
}
