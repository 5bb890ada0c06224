// Package configloader loads settings files in JSON with comments.
//
// Settings are declared like flags: a Section binds keys to variables with a
// default, bounds and a line of documentation. Loading a file reports every
// problem in it with line and column. A commented file of defaults can be
// written from the declarations.
package configloader

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// field is one key of a section.
type field struct {
	key string
	doc string
	// defaultJSON is the default, encoded as JSON.
	defaultJSON string
	// required reports whether the key must be set, because it has no default.
	required bool
	// set parses the value into the bound variable. It returns the problem, if any.
	set func(v hujson.Value) string
}

// Section is a group of settings. The zero value is empty and ready for use.
type Section struct {
	// fields are in order of declaration; keys are unique.
	fields []field
}

func (s *Section) add(f field) {
	for _, existing := range s.fields {
		if existing.key == f.key {
			panic("configloader: key declared twice: " + f.key)
		}
	}
	s.fields = append(s.fields, f)
}

// Duration binds a duration such as "250ms".
func (s *Section) Duration(key string, target *time.Duration, def, low, high time.Duration, doc string) {
	*target = def
	doc = fmt.Sprintf("%s From %s to %s.", doc, low, high)
	s.add(field{key: key, doc: doc, defaultJSON: strconv.Quote(def.String()), set: func(v hujson.Value) string {
		text, problem := decodeString(v)
		if problem != "" {
			return `must be a duration such as "250ms"`
		}
		d, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Sprintf(`%q is not a duration such as "250ms"`, text)
		}
		if d < low || d > high {
			return fmt.Sprintf("%s is not between %s and %s", d, low, high)
		}
		*target = d
		return ""
	}})
}

// Int binds an integer.
func (s *Section) Int(key string, target *int, def, low, high int, doc string) {
	*target = def
	doc = fmt.Sprintf("%s From %d to %d.", doc, low, high)
	s.add(field{key: key, doc: doc, defaultJSON: strconv.Itoa(def), set: func(v hujson.Value) string {
		var n int
		if json.Unmarshal(standardJSON(v), &n) != nil {
			return "must be an integer"
		}
		if n < low || n > high {
			return fmt.Sprintf("%d is not between %d and %d", n, low, high)
		}
		*target = n
		return ""
	}})
}

// Float binds a number.
func (s *Section) Float(key string, target *float64, def, low, high float64, doc string) {
	*target = def
	doc = fmt.Sprintf("%s From %g to %g.", doc, low, high)
	s.add(field{key: key, doc: doc, defaultJSON: strconv.FormatFloat(def, 'g', -1, 64), set: func(v hujson.Value) string {
		var x float64
		if json.Unmarshal(standardJSON(v), &x) != nil {
			return "must be a number"
		}
		if x < low || x > high {
			return fmt.Sprintf("%g is not between %g and %g", x, low, high)
		}
		*target = x
		return ""
	}})
}

// Bool binds true or false.
func (s *Section) Bool(key string, target *bool, def bool, doc string) {
	*target = def
	s.add(field{key: key, doc: doc, defaultJSON: strconv.FormatBool(def), set: func(v hujson.Value) string {
		var b bool
		if json.Unmarshal(standardJSON(v), &b) != nil {
			return "must be true or false"
		}
		*target = b
		return ""
	}})
}

// Address binds an IP address with a port. An empty default makes it required.
func (s *Section) Address(key string, target *netip.AddrPort, def, doc string) {
	if def != "" {
		*target = netip.MustParseAddrPort(def)
	}
	s.add(field{key: key, doc: doc, defaultJSON: strconv.Quote(def), required: def == "", set: func(v hujson.Value) string {
		text, problem := decodeString(v)
		if problem != "" {
			return problem
		}
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return fmt.Sprintf(`%q is not an IP address with a port such as "127.0.0.1:8080"`, text)
		}
		*target = a
		return ""
	}})
}

// Addresses binds a list of IP addresses with ports, empty by default.
func (s *Section) Addresses(key string, target *[]netip.AddrPort, doc string) {
	*target = nil
	s.add(field{key: key, doc: doc, defaultJSON: "[]", set: func(v hujson.Value) string {
		var texts []string
		if json.Unmarshal(standardJSON(v), &texts) != nil {
			return "must be a list of IP addresses with ports"
		}
		var list []netip.AddrPort
		for i, text := range texts {
			a, err := netip.ParseAddrPort(text)
			if err != nil {
				return fmt.Sprintf("entry %d: %q is not an IP address with a port", i, text)
			}
			list = append(list, a)
		}
		*target = list
		return ""
	}})
}

// namePattern matches kebab-case names.
var namePattern = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

// IsKebabCase reports whether a text is a kebab-case name.
func IsKebabCase(text string) bool {
	return namePattern.MatchString(text)
}

// Name binds a kebab-case name. An empty default makes it required.
func (s *Section) Name(key string, target *string, def, doc string) {
	*target = def
	s.add(field{key: key, doc: doc, defaultJSON: strconv.Quote(def), required: def == "", set: func(v hujson.Value) string {
		text, problem := decodeString(v)
		if problem != "" {
			return problem
		}
		if !IsKebabCase(text) {
			return fmt.Sprintf("%q is not a kebab-case name", text)
		}
		*target = text
		return ""
	}})
}

// String binds a string. An empty default is a valid value.
func (s *Section) String(key string, target *string, def, doc string) {
	*target = def
	s.add(field{key: key, doc: doc, defaultJSON: strconv.Quote(def), set: func(v hujson.Value) string {
		text, problem := decodeString(v)
		if problem != "" {
			return problem
		}
		*target = text
		return ""
	}})
}

// Secret binds a required string of at least minLength bytes.
func (s *Section) Secret(key string, target *string, minLength int, doc string) {
	*target = ""
	s.add(field{key: key, doc: doc, defaultJSON: `""`, required: true, set: func(v hujson.Value) string {
		text, problem := decodeString(v)
		if problem != "" {
			return problem
		}
		if len(text) < minLength {
			return fmt.Sprintf("must have at least %d characters", minLength)
		}
		*target = text
		return ""
	}})
}

// SHA256 binds a required SHA-256 sum in hexadecimal.
func (s *Section) SHA256(key string, target *[sha256.Size]byte, doc string) {
	*target = [sha256.Size]byte{}
	s.add(field{key: key, doc: doc, defaultJSON: `""`, required: true, set: func(v hujson.Value) string {
		text, problem := decodeString(v)
		if problem != "" {
			return problem
		}
		sum, err := hex.DecodeString(text)
		if err != nil || len(sum) != len(target) {
			return "is not a hexadecimal SHA-256 sum"
		}
		copy(target[:], sum)
		return ""
	}})
}

// Enum binds one of several strings.
func (s *Section) Enum(key string, target *string, def string, values []string, doc string) {
	*target = def
	doc = fmt.Sprintf("%s One of %s.", doc, strings.Join(values, ", "))
	s.add(field{key: key, doc: doc, defaultJSON: strconv.Quote(def), set: func(v hujson.Value) string {
		text, problem := decodeString(v)
		if problem != "" {
			return problem
		}
		for _, value := range values {
			if value == text {
				*target = text
				return ""
			}
		}
		return unknownNameProblem(text, values)
	}})
}

func decodeString(v hujson.Value) (text, problem string) {
	if json.Unmarshal(standardJSON(v), &text) != nil {
		return "", "must be a string"
	}
	return text, ""
}

// standardJSON returns a value as JSON without comments.
func standardJSON(v hujson.Value) []byte {
	clone := v.Clone()
	clone.Standardize()
	return clone.Pack()
}
