package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// fillTemplate fills in a settings template as the page on the deploy file describes it: values, JSON values and
// sections. entry is the current entry of a section, and key its key or index.
func fillTemplate(text string, data map[string]any, entry any, key string, last bool) (string, error) {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(text, "{{")
		out.WriteString(before)
		if !found {
			return out.String(), nil
		}
		tag, rest, found := strings.Cut(rest, "}}")
		if !found {
			return "", fmt.Errorf("template: unclosed tag %q", tag)
		}
		text = rest
		switch {
		case strings.HasPrefix(tag, "#"), strings.HasPrefix(tag, "^"):
			inner, after, found := strings.Cut(text, "{{/"+tag[1:]+"}}")
			if !found {
				return "", fmt.Errorf("template: section %q has no end", tag)
			}
			text = after
			section, err := fillSection(tag, inner, data)
			if err != nil {
				return "", err
			}
			out.WriteString(section)
		case tag == ".":
			out.WriteString(plain(entry))
		case tag == "@":
			out.WriteString(key)
		case tag == ",":
			if !last {
				out.WriteString(",")
			}
		default:
			out.WriteString(value(tag, data))
		}
	}
}

// fillSection fills in a section for each entry of a table, or once if its value is true or, for "^", not.
func fillSection(tag, inner string, data map[string]any) (string, error) {
	current := lookup(tag[1:], data)
	table, isTable := current.(map[string]any)
	isSet := current != nil && current != false
	if tag[0] == '^' {
		if isSet {
			return "", nil
		}
		return fillTemplate(inner, data, nil, "", true)
	}
	if !isTable {
		if !isSet {
			return "", nil
		}
		return fillTemplate(inner, data, nil, "", true)
	}
	var keys []string
	for key := range table {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	var out strings.Builder
	for i, key := range keys {
		text, err := fillTemplate(inner, data, table[key], key, i == len(keys)-1)
		if err != nil {
			return "", err
		}
		out.WriteString(text)
	}
	return out.String(), nil
}

// value returns a value by its path, as JSON if the tag asks for it.
func value(tag string, data map[string]any) string {
	path, asJSON := strings.CutSuffix(tag, "|json")
	found := lookup(path, data)
	if !asJSON {
		return plain(found)
	}
	text, err := json.Marshal(found)
	if err != nil {
		return ""
	}
	return string(text)
}

func plain(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case float64:
		return strconv.FormatFloat(v, 'f', -1, 64)
	}
	return fmt.Sprint(v)
}

// lookup returns the value at a path of names and indexes; nil if there is none.
func lookup(path string, data map[string]any) any {
	var current any = data
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
