package route

import "strings"

// plainShellCharacters are the characters that need no quotes in a shell.
const plainShellCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."

// ShellQuote returns a word as a shell reads it, in quotes if it needs them.
func ShellQuote(word string) string {
	if strings.Trim(word, plainShellCharacters) == "" {
		return word
	}
	return "'" + strings.ReplaceAll(word, "'", `'\''`) + "'"
}
