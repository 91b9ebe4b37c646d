package lang

import (
	"fmt"
	"testing"
	"testing/fstest"
)

// Guards a class that the files have never run twice, though the platform's settings would let it.
func TestClassBlockMakesAClassNotIdempotent(t *testing.T) {
	text := "class \"dim-level\" { runs = once }\npool \"p\" {}\nroute \"r\" { pool = \"p\" }\n"
	r := mustCheck(t, fstest.MapFS{"main.crank": textFile(text)}, "", testPlatform)
	if fmt.Sprint(r.Spec.NotIdempotentClasses) != "[dim-level]" || fmt.Sprint(r.NotIdempotent(r.Classes())) != "[true false true true]" {
		t.Errorf("not idempotent: %v, %v", r.Spec.NotIdempotentClasses, r.NotIdempotent(r.Classes()))
	}
}
