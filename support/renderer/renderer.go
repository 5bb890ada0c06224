// Package renderer renders settings templates. It supports the syntax that the
// deployment's template uses: values, values as JSON, sections rendered if a value
// is set and not false, inverted sections, and sections that name the key or value
// of an object's entries and are repeated for each of them. Tests and the soak test use it to configure nodes.
package renderer

import (
	"encoding/json"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{([#^])([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	keyPattern     = regexp.MustCompile(`\{\{[@.]\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// Render renders a template with fields as decoded from JSON. The error names
// fields without a value and sections with a mismatched end.
func Render(template string, fields map[string]any) (string, error) {
	var errs error
	text := sectionPattern.ReplaceAllStringFunc(template, func(text string) string {
		m := sectionPattern.FindStringSubmatch(text)
		if m[2] != m[4] {
			errs = errors.CombineErrors(errs, errors.Newf("section %s is closed by the end of %s", m[2], m[4]))
		}
		return renderSection(m[1] == "^", m[3], lookup(fields, m[2]))
	})
	text = valuePattern.ReplaceAllStringFunc(text, func(text string) string {
		m := valuePattern.FindStringSubmatch(text)
		v := lookup(fields, m[1])
		if v == nil {
			errs = errors.CombineErrors(errs, errors.Newf("%s has no value", m[1]))
		}
		if m[2] == "" {
			return formatValue(v)
		}
		return encodeJSON(v)
	})
	return text, errs
}

func renderSection(inverted bool, body string, v any) string {
	present := v != nil && v != false
	if inverted == present {
		return ""
	}
	object, ok := v.(map[string]any)
	if !ok || !keyPattern.MatchString(body) {
		return body
	}
	var keys []string
	for key := range object {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	var rendered strings.Builder
	for i, key := range keys {
		comma := ","
		if i == len(keys)-1 {
			comma = ""
		}
		rendered.WriteString(strings.NewReplacer("{{@}}", key, "{{.}}", formatValue(object[key]), "{{,}}", comma).Replace(body))
	}
	return rendered.String()
}

// lookup returns the value at a path of names and indexes; nil if there is none.
func lookup(fields map[string]any, path string) any {
	var current any = fields
	for name := range strings.SplitSeq(path, ".") {
		switch v := current.(type) {
		case map[string]any:
			current = v[name]
		case []any:
			i, err := strconv.Atoi(name)
			if err != nil || i < 0 || i >= len(v) {
				return nil
			}
			current = v[i]
		default:
			return nil
		}
	}
	return current
}

func formatValue(v any) string {
	if text, ok := v.(string); ok {
		return text
	}
	return encodeJSON(v)
}

func encodeJSON(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		// Values decoded from JSON can always be encoded.
		return ""
	}
	return string(data)
}
