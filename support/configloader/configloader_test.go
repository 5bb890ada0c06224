package configloader

import (
	"errors"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// sample is a schema of two sections, one of which has two plug-ins.
type sample struct {
	name    string
	wait    time.Duration
	address netip.AddrPort
	seeds   []netip.AddrPort
	choices int
	share   float64
	file    Schema
}

// twoPlugins selects one of two plug-ins.
type twoPlugins struct {
	sample *sample
}

// Select implements SectionSelector.
func (p twoPlugins) Select(name string) *Section {
	s := new(Section)
	switch name {
	case "first":
		s.Int("choices", &p.sample.choices, 3, 1, 64, "How many.")
	case "second":
		s.Float("share", &p.sample.share, 0.5, 0, 1, "How much.")
	default:
		return nil
	}
	return s
}

// Names implements SectionSelector.
func (twoPlugins) Names() []string { return []string{"first", "second"} }

func newSample() *sample {
	s := &sample{}
	node := new(Section)
	node.Name("name", &s.name, "", "The name.")
	node.Duration("wait", &s.wait, 5*time.Second, 0, time.Minute, "The wait.")
	node.Address("address", &s.address, "127.0.0.1:80", "The address.")
	node.Addresses("seeds", &s.seeds, "The seeds.")
	s.file.AddSection("node", "The node section.", FixedSection{Section: node})
	s.file.AddSection("balancer", "The balancer section.", twoPlugins{sample: s})
	return s
}

func TestLoadSetsDeclaredVariables(t *testing.T) {
	s := newSample()
	err := s.file.Load("f", []byte(`{
  // a comment
  "node": {"name": "a-1", "wait": "250ms", "seeds": ["10.0.0.1:7", "[::1]:8"]},
  "balancer": {"plugin": "second", "share": 0.25}, /* and another */
}`))
	if err != nil {
		t.Fatal(err)
	}
	want := sample{
		name: "a-1", wait: 250 * time.Millisecond, address: netip.MustParseAddrPort("127.0.0.1:80"),
		seeds: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:7"), netip.MustParseAddrPort("[::1]:8")}, share: 0.25,
	}
	options := []cmp.Option{cmp.AllowUnexported(sample{}), cmpopts.IgnoreFields(sample{}, "file"), cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })}
	if diff := cmp.Diff(want, *s, options...); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

func TestLoadReportsAllFindings(t *testing.T) {
	tests := []struct {
		name string
		data string
		want []string
	}{
		{"everything at once", `{
  "nod": {},
  "node": {"name": "A b", "wait": "3h", "wiat": "1s", "address": "localhost:80"},
  "balancer": {"plugin": "frist"},
}`, []string{
			`f:2:3: nod: "nod" is unknown, did you mean "node"? (known: node, balancer)`,
			`f:3:20: node.name: "A b" is not a kebab-case name`,
			`f:3:35: node.wait: 3h0m0s is not between 0s and 1m0s`,
			`f:3:41: node.wiat: "wiat" is unknown, did you mean "wait"? (known: name, wait, address, seeds)`,
			`f:3:66: node.address: "localhost:80" is not an IP address with a port such as "127.0.0.1:8080"`,
			`f:4:26: balancer.plugin: "frist" is unknown, did you mean "first"? (known: first, second)`,
		}},
		{"a required key", `{"node": {}}`, []string{`f:1:10: node.name: is required: The name.`}},
		{"a key of the other implementation", `{"node": {"name": "a"}, "balancer": {"share": 0.5}}`, []string{
			`f:1:38: balancer.share: "share" is unknown (known: choices)`,
		}},
		{"twice", `{"node": {"name": "a", "name": "b"}, "node": {}}`, []string{
			`f:1:24: node.name: duplicate key`, `f:1:38: node: duplicate key`,
		}},
		{"the wrong type", `{"node": {"name": 1, "wait": 5, "seeds": "x"}, "balancer": []}`, []string{
			`f:1:19: node.name: must be a string`, `f:1:30: node.wait: must be a duration such as "250ms"`,
			`f:1:42: node.seeds: must be a list of IP addresses with ports`, `f:1:60: balancer: must be an object`,
		}},
		{"not an object", `[]`, []string{`f:1:1: (file): must be an object`}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			err := newSample().file.Load("f", []byte(test.data))
			var findings *FindingsError
			if !errors.As(err, &findings) {
				t.Fatalf("err = %v, want findings", err)
			}
			if diff := cmp.Diff(test.want, strings.Split(findings.Error(), "\n")); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

func TestWrittenDefaultsCanBeLoaded(t *testing.T) {
	var out strings.Builder
	if err := newSample().file.WriteDefaults(&out); err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(out.String(), `"name": ""`, `"name": "a"`, 1)
	s := newSample()
	if err := s.file.Load("f", []byte(text)); err != nil {
		t.Fatalf("%v\n%s", err, text)
	}
	if s.wait != 5*time.Second || s.choices != 3 {
		t.Errorf("wait %s and choices %d", s.wait, s.choices)
	}
}

func TestSHA256FindingHasPosition(t *testing.T) {
	var sum [32]byte
	section := new(Section)
	section.SHA256("key", &sum, "The sum.")
	var schema Schema
	schema.AddSection("admin", "The admin section.", FixedSection{Section: section})
	err := schema.Load("f", []byte(`{"admin": {"key": "zz"}}`))
	if err == nil || err.Error() != "f:1:19: admin.key: is not a hexadecimal SHA-256 sum" {
		t.Errorf("err = %v", err)
	}
	if err := schema.Load("f", []byte(`{"admin": {"key": "`+strings.Repeat("ab", 32)+`"}}`)); err != nil || sum[31] != 0xab {
		t.Errorf("err = %v, sum %x", err, sum)
	}
}

func FuzzLoad(f *testing.F) {
	f.Add([]byte(`{"node": {"name": "a", "wait": "1s"}}`))
	f.Add([]byte(`{"node": // x` + "\n" + `{}}`))
	f.Add([]byte(`{"balancer": {"plugin": 5}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		err := newSample().file.Load("f", data)
		var findings *FindingsError
		if err != nil && !errors.As(err, &findings) {
			t.Errorf("err = %v, want findings", err)
		}
		if findings != nil && len(findings.Findings) == 0 {
			t.Error("a rejected file has no finding")
		}
	})
}
