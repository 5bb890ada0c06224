package configloader

import (
	"bytes"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"

	"github.com/agext/levenshtein"
	"github.com/tailscale/hujson"
)

// pluginKey is the key that selects the implementation of a section.
const pluginKey = "plugin"

// suggestDistanceLimit is the edit distance below which a known name is suggested.
const suggestDistanceLimit = 4

// Finding is one problem in a settings file.
type Finding struct {
	// File is the name of the file.
	File string
	// Line and Column start at one.
	Line   int
	Column int
	// Path is the path of the key, joined by dots.
	Path string
	// Problem describes what is wrong.
	Problem string
}

// String formats the finding as file:line:column: path: problem.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, f.Path, f.Problem)
}

// FindingsError reports all findings of a file.
type FindingsError struct {
	Findings []Finding
}

// Error formats the findings, one per line.
func (e *FindingsError) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// SectionSelector selects the section of an implementation by name. A section
// without alternatives has no names and is selected by the empty name.
type SectionSelector interface {
	// Select returns nil for an unknown name.
	Select(name string) *Section
	// Names lists the names of the implementations, the default first.
	Names() []string
}

// Schema describes the sections of a settings file. The zero value is empty.
type Schema struct {
	// sectionNames lists the sections in order of declaration.
	sectionNames []string
	// selectors has an entry for each section name.
	selectors map[string]SectionSelector
	docs      map[string]string
}

// AddSection declares a section.
func (s *Schema) AddSection(name, doc string, selector SectionSelector) {
	if s.selectors == nil {
		s.selectors = make(map[string]SectionSelector)
		s.docs = make(map[string]string)
	}
	s.sectionNames = append(s.sectionNames, name)
	s.selectors[name] = selector
	s.docs[name] = doc
}

// FixedSection is the SectionSelector of a section without alternatives.
type FixedSection struct {
	Section *Section
}

// Select returns the section for the empty name, and nil for any other.
func (f FixedSection) Select(name string) *Section {
	if name != "" {
		return nil
	}
	return f.Section
}

// Names returns nil.
func (f FixedSection) Names() []string {
	return nil
}

// findingCollector collects the findings of one file.
type findingCollector struct {
	name     string
	data     []byte
	findings []Finding
}

func (c *findingCollector) addFinding(offset int, path, problem string) {
	before := c.data[:min(offset, len(c.data))]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := offset - bytes.LastIndexByte(before, '\n')
	c.findings = append(c.findings, Finding{File: c.name, Line: line, Column: column, Path: path, Problem: problem})
}

// Load sets the declared variables from the data of a file. The error is a
// *FindingsError with every problem in the file, or with the first syntax error.
func (s *Schema) Load(name string, data []byte) error {
	c := &findingCollector{name: name, data: data}
	root, err := hujson.Parse(data)
	if err != nil {
		c.addSyntaxError(err)
		return &FindingsError{Findings: c.findings}
	}
	s.readRoot(c, root)
	if len(c.findings) > 0 {
		sort.SliceStable(c.findings, func(i, j int) bool { return c.findings[i].precedes(c.findings[j]) })
		return &FindingsError{Findings: c.findings}
	}
	return nil
}

func (f Finding) precedes(other Finding) bool {
	if f.Line != other.Line {
		return f.Line < other.Line
	}
	return f.Column < other.Column
}

// addSyntaxError converts an error of the parser, which begins with "hujson: line
// L, column C: ", into a finding.
func (c *findingCollector) addSyntaxError(err error) {
	f := Finding{File: c.name, Line: 1, Column: 1, Path: "(file)", Problem: err.Error()}
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	position, problem, ok := strings.Cut(text, ": ")
	if ok {
		if _, scanErr := fmt.Sscanf(position, "line %d, column %d", &f.Line, &f.Column); scanErr == nil {
			f.Problem = problem
		}
	}
	c.findings = append(c.findings, f)
}

func (s *Schema) readRoot(c *findingCollector, root hujson.Value) {
	object, ok := root.Value.(*hujson.Object)
	if !ok {
		c.addFinding(root.StartOffset, "(file)", "must be an object")
		return
	}
	seen := make(map[string]bool)
	for _, m := range object.Members {
		key := m.Name.Value.(hujson.Literal).String()
		selector, known := s.selectors[key]
		if !known {
			c.addFinding(m.Name.StartOffset, key, unknownNameProblem(key, s.sectionNames))
			continue
		}
		if seen[key] {
			c.addFinding(m.Name.StartOffset, key, "duplicate key")
			continue
		}
		seen[key] = true
		readSection(c, key, selector, m.Value)
	}
	for _, key := range s.sectionNames {
		if !seen[key] {
			readSection(c, key, s.selectors[key], hujson.Value{Value: &hujson.Object{}})
		}
	}
}

func readSection(c *findingCollector, path string, selector SectionSelector, v hujson.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		c.addFinding(v.StartOffset, path, "must be an object")
		return
	}
	section := selectSection(c, path, selector, object)
	if section == nil {
		return
	}
	section.read(c, path, selector, object, v.StartOffset)
}

func selectSection(c *findingCollector, path string, selector SectionSelector, object *hujson.Object) *Section {
	names := selector.Names()
	if len(names) == 0 {
		return selector.Select("")
	}
	for _, m := range object.Members {
		if m.Name.Value.(hujson.Literal).String() != pluginKey {
			continue
		}
		text, problem := decodeString(m.Value)
		if problem != "" {
			c.addFinding(m.Value.StartOffset, path+"."+pluginKey, problem)
			return nil
		}
		section := selector.Select(text)
		if section == nil {
			c.addFinding(m.Value.StartOffset, path+"."+pluginKey, unknownNameProblem(text, names))
		}
		return section
	}
	return selector.Select(names[0])
}

func (s *Section) read(c *findingCollector, path string, selector SectionSelector, object *hujson.Object, start int) {
	seen := make(map[string]bool)
	for _, m := range object.Members {
		key := m.Name.Value.(hujson.Literal).String()
		if key == pluginKey && len(selector.Names()) > 0 {
			continue
		}
		if seen[key] {
			c.addFinding(m.Name.StartOffset, path+"."+key, "duplicate key")
			continue
		}
		seen[key] = true
		f, ok := s.lookup(key)
		if !ok {
			c.addFinding(m.Name.StartOffset, path+"."+key, unknownNameProblem(key, s.keys()))
			continue
		}
		if problem := f.set(m.Value); problem != "" {
			c.addFinding(m.Value.StartOffset, path+"."+key, problem)
		}
	}
	for _, f := range s.fields {
		if f.required && !seen[f.key] {
			c.addFinding(start, path+"."+f.key, "is required: "+f.doc)
		}
	}
}

func (s *Section) lookup(key string) (field, bool) {
	for _, f := range s.fields {
		if f.key == key {
			return f, true
		}
	}
	return field{}, false
}

func (s *Section) keys() []string {
	keys := make([]string, len(s.fields))
	for i, f := range s.fields {
		keys[i] = f.key
	}
	return keys
}

// unknownNameProblem describes an unknown name, suggests the closest known one and
// lists the known ones.
func unknownNameProblem(name string, known []string) string {
	text := strconv.Quote(name) + " is unknown"
	if closest := ClosestMatch(name, known); closest != "" {
		text += fmt.Sprintf(", did you mean %q?", closest)
	}
	return text + " (known: " + strings.Join(known, ", ") + ")"
}

// ClosestMatch returns the known name closest to a name, or an empty string if none
// is similar enough.
func ClosestMatch(name string, known []string) string {
	best := ""
	lowestDistance := suggestDistanceLimit
	for _, candidate := range known {
		distance := levenshtein.Distance(name, candidate, nil)
		if distance < lowestDistance {
			best = candidate
			lowestDistance = distance
		}
	}
	return best
}

// WriteDefaults writes a commented file with the default plug-ins and every key at its default.
func (s *Schema) WriteDefaults(w io.Writer) error {
	var b bytes.Buffer
	b.WriteString("{\n")
	for _, name := range s.sectionNames {
		writeSection(&b, name, s.docs[name], s.selectors[name])
	}
	b.WriteString("}\n")
	_, err := w.Write(b.Bytes())
	return err
}

func writeSection(b *bytes.Buffer, name, doc string, selector SectionSelector) {
	fmt.Fprintf(b, "  // %s\n  %q: {\n", doc, name)
	names := selector.Names()
	pluginName := ""
	if len(names) > 0 {
		pluginName = names[0]
		fmt.Fprintf(b, "    // The implementation. One of %s.\n    %q: %q,\n", strings.Join(names, ", "), pluginKey, pluginName)
	}
	for _, f := range selector.Select(pluginName).fields {
		required := ""
		if f.required {
			required = " Required."
		}
		fmt.Fprintf(b, "    // %s%s\n    %q: %s,\n", f.doc, required, f.key, f.defaultJSON)
	}
	b.WriteString("  },\n")
}
