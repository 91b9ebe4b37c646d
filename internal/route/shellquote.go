package route

import "strings"

// plainShellCharacters need no quotes in a shell.
const plainShellCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."

// ShellQuote quotes a word where a shell needs it.
func ShellQuote(word string) string {
	if strings.Trim(word, plainShellCharacters) == "" {
		return word
	}
	return "'" + strings.ReplaceAll(word, "'", `'\''`) + "'"
}
