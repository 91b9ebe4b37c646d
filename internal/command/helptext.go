package command

import "github.com/alecthomas/kong"

// helpVariables are the values that the tags of commands and flags refer to as ${name}: help texts that are too long
// for a tag, and default values that the code uses too.
var helpVariables = kong.Vars{
	"default_log_level": defaultLogLevel,

	"log_level_help": "Lowest level of log lines: debug, info, warn or error.",
	"platform_help":  "Check against the settings in the platform's JSON configuration too.",

	"serve_help": "Serve requests. The platform's JSON configuration is the file that EDGE_CONFIG names. " +
		"This is what the program does without arguments.",
	"check_help": "Check routes files and report all faults. " +
		"Exits with 1 if there are any.",
	"fmt_help": "Print routes files in canonical form. " +
		"With --check, exits with 1 if a file is not in it.",
	"diff_help": "Show how the behavior of one routes file differs from that of another. " +
		"Exits with 1 if it differs.",
	"explain_help": "Show which route, pool and policy apply to a request, and the lines that define them. " +
		"Exits with 1 if the request is rejected.",
	"demo_help": "Run a discovery server, three fake workers, a router and clients at a low request rate in one " +
		"process, and show what happens until interrupted.",
	"version_help": "Print the program's version.",
}
