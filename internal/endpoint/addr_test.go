package endpoint

import (
	"errors"
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	for _, test := range []struct {
		network Network
		text    string
		want    string // "": Parse rejects the text
	}{
		{TCP4, "127.0.0.1:80", "127.0.0.1:80"},
		{TCP4, "127.0.0.1:0", ""},
		{TCP4, "0.0.0.0:80", ""},
		{TCP4, "224.0.0.1:80", ""},
		{TCP4, "[::1]:80", ""},
		{TCP4, "worker7.example.org:80", ""},
		{TCP6, "[::1]:80", "[::1]:80"},
		{TCP6, "[0:0:0:0:0:0:0:1]:80", "[::1]:80"},
		{TCP6, "::1:80", ""},
		{TCP6, "[::ffff:127.0.0.1]:80", ""},
		{TCP6, "[::]:80", ""},
		{TCP6, "[ff02::1]:80", ""},
		{TCP6, "[fe80::1%eth0]:80", "[fe80::1%eth0]:80"},
		{TCP6, "[fd00::1%eth0]:80", ""},
		{TCP6, "[fe80::1%an-interface-too-long]:80", ""},
		{TCP6, "127.0.0.1:80", ""},
		{Unix, "/run/w.sock", "unix:/run/w.sock"},
		{Unix, "run/w.sock", ""},
		{Unix, "", ""},
		{Unix, "/a\x00b", ""},
		{Unix, "/" + strings.Repeat("x", 106), "unix:/" + strings.Repeat("x", 106)},
		{Unix, "/" + strings.Repeat("x", 107), ""},
	} {
		a, err := Parse(test.network, test.text)
		if test.want == "" && err == nil || test.want != "" && (err != nil || a.String() != test.want) {
			t.Errorf("%v %.40q: %v, %v, want %q", test.network, test.text, a, err, test.want)
		}
	}
}

func TestParseErrorNamesTheText(t *testing.T) {
	for _, test := range []struct {
		network Network
		text    string
	}{
		{Unix, "run/w.sock"},
		{TCP4, "[::1]:80"},
		{TCP6, "no address"},
	} {
		_, err := Parse(test.network, test.text)
		var parseError *ParseError
		if !errors.As(err, &parseError) || parseError.Network != test.network || parseError.Text != test.text {
			t.Errorf("%v %q: %v", test.network, test.text, err)
		}
	}
}
