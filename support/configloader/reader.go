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

// pluginKey chooses the implementation in a section.
const pluginKey = "plugin"

// suggestDistanceLimit is the edit distance up to which a known word is suggested.
const suggestDistanceLimit = 4

// Finding is one problem of a settings file.
type Finding struct {
	// File is the name of the file.
	File string
	// Line and Column count from one.
	Line   int
	Column int
	// Path is the key's path, its parts joined by dots.
	Path string
	// Problem says what is wrong.
	Problem string
}

// String gives the finding as file:line:column: path: problem.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, f.Path, f.Problem)
}

// FindingsError reports all findings of a file together.
type FindingsError struct {
	Findings []Finding
}

// Error gives one finding a line.
func (e *FindingsError) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// SectionSelector gives the section of an implementation by its name, and the names
// that it knows. A section that has no implementations to choose from knows
// no names and gives its section for the empty name.
type SectionSelector interface {
	// Select returns nil for an unknown name.
	Select(name string) *Section
	// Names lists the known names, the default first.
	Names() []string
}

// Schema describes the sections of a settings file. The zero value is empty.
type Schema struct {
	// sectionNames keeps the names of the sections as declared.
	sectionNames []string
	// selectors has an entry for each name in order.
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

// FixedSection is the Chooser of a section that has one form only.
type FixedSection struct {
	Section *Section
}

// Select gives the section.
func (f FixedSection) Select(name string) *Section {
	if name != "" {
		return nil
	}
	return f.Section
}

// Names gives none.
func (f FixedSection) Names() []string {
	return nil
}

// findingCollector collects the findings of one file.
type findingCollector struct {
	name     string
	data     []byte
	findings []Finding
}

func (r *findingCollector) addFinding(offset int, path, problem string) {
	before := r.data[:min(offset, len(r.data))]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := offset - bytes.LastIndexByte(before, '\n')
	r.findings = append(r.findings, Finding{File: r.name, Line: line, Column: column, Path: path, Problem: problem})
}

// Load fills the declared variables from a file's data. The error is a
// *FindingsError with everything that is wrong with the file.
func (s *Schema) Load(name string, data []byte) error {
	r := &findingCollector{name: name, data: data}
	root, err := hujson.Parse(data)
	if err != nil {
		r.addSyntaxError(err)
		return &FindingsError{Findings: r.findings}
	}
	s.readRoot(r, root)
	if len(r.findings) > 0 {
		sort.SliceStable(r.findings, func(i, j int) bool { return r.findings[i].precedes(r.findings[j]) })
		return &FindingsError{Findings: r.findings}
	}
	return nil
}

func (f Finding) precedes(other Finding) bool {
	if f.Line != other.Line {
		return f.Line < other.Line
	}
	return f.Column < other.Column
}

// addSyntaxError turns an error of the parser, which begins with "hujson: line L,
// column C: ", into a finding.
func (r *findingCollector) addSyntaxError(err error) {
	f := Finding{File: r.name, Line: 1, Column: 1, Path: "(file)", Problem: err.Error()}
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	position, problem, ok := strings.Cut(text, ": ")
	if ok {
		if _, scanErr := fmt.Sscanf(position, "line %d, column %d", &f.Line, &f.Column); scanErr == nil {
			f.Problem = problem
		}
	}
	r.findings = append(r.findings, f)
}

func (s *Schema) readRoot(r *findingCollector, root hujson.Value) {
	object, ok := root.Value.(*hujson.Object)
	if !ok {
		r.addFinding(root.StartOffset, "(file)", "must be an object")
		return
	}
	seen := make(map[string]bool)
	for _, m := range object.Members {
		key := m.Name.Value.(hujson.Literal).String()
		selector, known := s.selectors[key]
		if !known {
			r.addFinding(m.Name.StartOffset, key, unknownNameProblem(key, s.sectionNames))
			continue
		}
		if seen[key] {
			r.addFinding(m.Name.StartOffset, key, "given twice")
			continue
		}
		seen[key] = true
		readSection(r, key, selector, m.Value)
	}
	for _, key := range s.sectionNames {
		if !seen[key] {
			readSection(r, key, s.selectors[key], hujson.Value{Value: &hujson.Object{}})
		}
	}
}

func readSection(r *findingCollector, path string, selector SectionSelector, v hujson.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		r.addFinding(v.StartOffset, path, "must be an object")
		return
	}
	section := selectSection(r, path, selector, object)
	if section == nil {
		return
	}
	section.read(r, path, selector, object, v.StartOffset)
}

func selectSection(r *findingCollector, path string, selector SectionSelector, object *hujson.Object) *Section {
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
			r.addFinding(m.Value.StartOffset, path+"."+pluginKey, problem)
			return nil
		}
		section := selector.Select(text)
		if section == nil {
			r.addFinding(m.Value.StartOffset, path+"."+pluginKey, unknownNameProblem(text, names))
		}
		return section
	}
	return selector.Select(names[0])
}

func (s *Section) read(r *findingCollector, path string, selector SectionSelector, object *hujson.Object, start int) {
	seen := make(map[string]bool)
	for _, m := range object.Members {
		key := m.Name.Value.(hujson.Literal).String()
		if key == pluginKey && len(selector.Names()) > 0 {
			continue
		}
		if seen[key] {
			r.addFinding(m.Name.StartOffset, path+"."+key, "given twice")
			continue
		}
		seen[key] = true
		f, ok := s.lookup(key)
		if !ok {
			r.addFinding(m.Name.StartOffset, path+"."+key, unknownNameProblem(key, s.keys()))
			continue
		}
		if problem := f.set(m.Value); problem != "" {
			r.addFinding(m.Value.StartOffset, path+"."+key, problem)
		}
	}
	for _, f := range s.fields {
		if f.required && !seen[f.key] {
			r.addFinding(start, path+"."+f.key, "is required: "+f.doc)
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

// unknownNameProblem says that a word is unknown, suggests the nearest known one and
// lists them all.
func unknownNameProblem(name string, known []string) string {
	text := strconv.Quote(name) + " is unknown"
	if nearest := ClosestMatch(name, known); nearest != "" {
		text += fmt.Sprintf(", did you mean %q?", nearest)
	}
	return text + " (known: " + strings.Join(known, ", ") + ")"
}

// ClosestMatch gives the known word that is most like a word, or nothing where none
// is near.
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

// WriteDefaults prints a commented file with every key at its default.
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
