package renderer

import "testing"

func TestRender(t *testing.T) {
	fields := map[string]any{
		"name": `a "b"`, "on": true, "off": false, "ports": []any{7200.0, 7215.0},
		"bounds": map[string]any{"ms": 5000.0}, "zones": map[string]any{"z2": "r2", "z1": "r1"},
	}
	for template, want := range map[string]string{
		"{{name}}":                     `a "b"`,
		"{{name|json}}":                `"a \"b\""`,
		"{{bounds.ms}}ms, {{ports.1}}": "5000ms, 7215",
		"{{#bounds}}yes{{/bounds}}{{^bounds}}no{{/bounds}}": "yes",
		"{{#zones}}{{bounds.ms}}{{/zones}}":                 "5000",
		"{{#on}}yes{{/on}}{{^on}}no{{/on}}":                 "yes",
		"{{#off}}yes{{/off}}{{^off}}no{{/off}}":             "no",
		"{{#none}}yes{{/none}}{{^none}}no{{/none}}":         "no",
		"{{#zones}}{{@}}={{.}}{{,}}{{/zones}}":              "z1=r1,z2=r2",
	} {
		if got, err := Render(template, fields); err != nil || got != want {
			t.Errorf("%s rendered as %q, %v, want %q", template, got, err, want)
		}
	}
	for _, template := range []string{"{{nothing}}", "{{ports.2}}", "{{name.x}}", "{{#on}}yes{{/off}}"} {
		if got, err := Render(template, fields); err == nil {
			t.Errorf("%s rendered as %q without an error", template, got)
		}
	}
}
