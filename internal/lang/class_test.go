package lang

import (
	"fmt"
	"slices"
	"testing"
	"testing/fstest"

	"crankhold/internal/route"
)

// A class block may declare that a class must never run twice although the platform's settings allow it.
func TestClassBlockMakesAClassNotIdempotent(t *testing.T) {
	text := "class \"dim-level\" { runs = once }\npool \"p\" {}\nroute \"r\" { pool = \"p\" }\n"
	r := mustCheck(t, fstest.MapFS{"main.crank": textFile(text)}, "", testPlatform)
	if fmt.Sprint(r.Spec.NotIdempotentClasses) != "[dim-level]" || fmt.Sprint(r.NotIdempotent(r.Classes())) != "[true false true true]" {
		t.Errorf("not idempotent: %v, %v", r.Spec.NotIdempotentClasses, r.NotIdempotent(r.Classes()))
	}
}

// The known classes are those of the platform; without a platform, those of class blocks; without class blocks, those
// that routes name.
func TestKnownClasses(t *testing.T) {
	routes := []route.RouteSpec{{Classes: []string{"dim-level"}}}
	for _, c := range []struct {
		name     string
		platform *Platform
		declared classList
		want     []string
		complete bool
	}{
		{"platform", testPlatform, nil, []string{"dim-level", "fault-check", "audit", "repair-order"}, true},
		{"class blocks", nil, classList{{Name: "audit"}}, []string{"audit"}, true},
		{"routes", nil, nil, []string{"dim-level", "repair-order"}, false},
	} {
		b := &classBuilder{builderContext: builderContext{platform: c.platform}, declared: c.declared}
		known := b.known(routes)
		if names := known.list.names(); !slices.Equal(names, c.want) || known.complete != c.complete {
			t.Errorf("%s: %v, complete %v", c.name, names, known.complete)
		}
		if !known.list.isNotIdempotent(neverIdempotentClass) || known.list.isNotIdempotent("dim-level") {
			t.Errorf("%s: not idempotent: %+v", c.name, known.list)
		}
	}
}
