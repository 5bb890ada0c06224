package recorder

import (
	"expvar"
	"testing"
)

func TestRenderTextWritesEachNumber(t *testing.T) {
	vars, inner := new(expvar.Map), new(expvar.Map)
	inner.Add("b", 2)
	inner.Add("a", 1)
	vars.Set("refusals", inner)
	vars.Add("attempts", 7)
	vars.Set("text", expvar.Func(func() any { return "1.5s" }))
	const want = "attempts 7\nrefusals/a 1\nrefusals/b 2\ntext 1.5s\n"
	if got := string(renderText(vars)); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}
