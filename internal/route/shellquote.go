package route

import "strings"

// plainShellCharacters are the characters that need no quotes in a shell.
const plainShellCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."

// ShellQuote quotes a word for a shell, if it contains characters that need quotes.
func ShellQuote(word string) string {
	if strings.Trim(word, plainShellCharacters) == "" {
		return word
	}
	return "'" + strings.ReplaceAll(word, "'", `'\''`) + "'"
}
