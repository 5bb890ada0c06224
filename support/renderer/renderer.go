// Package renderer fills in settings templates as far as the deployment's own
// template goes: values, values as JSON, and sections over tables, entries and
// truths. Tests and the soak give nodes their settings so.
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
	section = regexp.MustCompile(`(?s)\{\{([#^])([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	value   = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// Render fills a template in from fields as they are decoded from JSON. The
// error names what has no value or no end.
func Render(template string, fields map[string]any) (string, error) {
	var failed error
	text := section.ReplaceAllStringFunc(template, func(text string) string {
		m := section.FindStringSubmatch(text)
		if m[2] != m[4] {
			failed = errors.CombineErrors(failed, errors.Newf("section %s ends as %s", m[2], m[4]))
		}
		return renderSection(m[1] == "^", m[3], lookUp(fields, m[2]))
	})
	text = value.ReplaceAllStringFunc(text, func(text string) string {
		m := value.FindStringSubmatch(text)
		v := lookUp(fields, m[1])
		if v == nil {
			failed = errors.CombineErrors(failed, errors.Newf("%s has no value", m[1]))
		}
		if m[2] == "" {
			return plain(v)
		}
		return asJSON(v)
	})
	return text, failed
}

func renderSection(inverted bool, body string, v any) string {
	there := v != nil && v != false
	if inverted == there {
		return ""
	}
	table, ok := v.(map[string]any)
	if !ok {
		return body
	}
	var keys []string
	for key := range table {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	var all strings.Builder
	for i, key := range keys {
		comma := ","
		if i == len(keys)-1 {
			comma = ""
		}
		all.WriteString(strings.NewReplacer("{{@}}", key, "{{.}}", plain(table[key]), "{{,}}", comma).Replace(body))
	}
	return all.String()
}

// lookUp gives the value at a path of names and indexes; nil where there is
// none.
func lookUp(fields map[string]any, path string) any {
	var at any = fields
	for name := range strings.SplitSeq(path, ".") {
		switch v := at.(type) {
		case map[string]any:
			at = v[name]
		case []any:
			i, err := strconv.Atoi(name)
			if err != nil || i < 0 || i >= len(v) {
				return nil
			}
			at = v[i]
		default:
			return nil
		}
	}
	return at
}

func plain(v any) string {
	if text, ok := v.(string); ok {
		return text
	}
	return asJSON(v)
}

func asJSON(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		// What was decoded from JSON can be encoded.
		return ""
	}
	return string(data)
}
