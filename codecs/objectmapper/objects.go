// Package objectmapper maps published objects to and from JSON and validates
// them. Durations are strings such as "250ms", key hashes are in hex.
package objectmapper

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

type profileJSON struct {
	Name             string `json:"name"`
	Class            string `json:"class"`
	Tier             int    `json:"tier"`
	FirstTokenTarget string `json:"first-token-target"`
	Timeout          string `json:"timeout"`
	Idempotent       bool   `json:"idempotent"`
	Interactive      bool   `json:"interactive"`
	Preemptible      bool   `json:"preemptible"`
	MaxTokens        int    `json:"max-tokens,omitempty"`
	Revision         int64  `json:"revision,omitempty"`
}

type teamJSON struct {
	Name            string   `json:"name"`
	KeyHashes       []string `json:"key-hashes"`
	DefaultProfile  string   `json:"default-profile"`
	Weight          int      `json:"weight,omitempty"`
	TokensPerSecond int      `json:"tokens-per-second,omitempty"`
	Concurrency     int      `json:"concurrency,omitempty"`
	Revision        int64    `json:"revision,omitempty"`
}

type serviceJSON struct {
	Name           string   `json:"name"`
	Kind           string   `json:"kind"`
	Models         []string `json:"models,omitempty"`
	DefaultProfile string   `json:"default-profile,omitempty"`
	Concurrency    int      `json:"concurrency,omitempty"`
	Revision       int64    `json:"revision,omitempty"`
}

type upstreamJSON struct {
	Name          string `json:"name"`
	Service       string `json:"service"`
	Address       string `json:"address"`
	DataCentre    string `json:"data-centre"`
	Region        string `json:"region"`
	Slots         int    `json:"slots"`
	ChecksFencing bool   `json:"checks-fencing,omitempty"`
	Draining      bool   `json:"draining,omitempty"`
	Revision      int64  `json:"revision,omitempty"`
}

// Encode encodes an object as JSON, an empty object as null.
func Encode(o quetzalroad.Object) ([]byte, error) {
	switch {
	case o.Profile != nil:
		return json.Marshal(encodeProfile(o.Profile))
	case o.Team != nil:
		return json.Marshal(encodeTeam(o.Team))
	case o.Service != nil:
		return json.Marshal(encodeService(o.Service))
	case o.Upstream != nil:
		return json.Marshal(encodeUpstream(o.Upstream))
	}
	return []byte("null"), nil
}

func encodeProfile(p *quetzalroad.Profile) profileJSON {
	return profileJSON{
		Name: string(p.Name), Class: string(p.Class), Tier: int(p.Tier),
		FirstTokenTarget: p.FirstTokenTarget.String(), Timeout: p.Timeout.String(),
		Idempotent: p.Idempotent, Interactive: p.Interactive, Preemptible: p.Preemptible,
		MaxTokens: p.MaxTokens, Revision: int64(p.Revision),
	}
}

func encodeTeam(t *quetzalroad.Team) teamJSON {
	hashes := make([]string, len(t.KeyHashes))
	for i, h := range t.KeyHashes {
		hashes[i] = hex.EncodeToString(h[:])
	}
	return teamJSON{
		Name: string(t.Name), KeyHashes: hashes, DefaultProfile: string(t.DefaultProfile),
		Weight: t.Weight, TokensPerSecond: t.MaxTokensPerSecond, Concurrency: t.MaxConcurrency,
		Revision: int64(t.Revision),
	}
}

func encodeService(s *quetzalroad.Service) serviceJSON {
	var models []string
	for _, m := range s.Models {
		models = append(models, string(m))
	}
	return serviceJSON{
		Name: string(s.Name), Kind: string(s.Kind), Models: models,
		DefaultProfile: string(s.DefaultProfile), Concurrency: s.MaxConcurrency, Revision: int64(s.Revision),
	}
}

func encodeUpstream(u *quetzalroad.Upstream) upstreamJSON {
	return upstreamJSON{
		Name: string(u.Name), Service: string(u.Service), Address: u.Address.String(),
		DataCentre: string(u.DataCentre), Region: string(u.Region), Slots: u.MaxConcurrency,
		ChecksFencing: u.ChecksFencing, Draining: u.Draining, Revision: int64(u.Revision),
	}
}

// Decode decodes an object from JSON and validates it. If the JSON is well-formed
// but the content is invalid, the error is a *quetzalroad.InvalidError with all
// problems.
func Decode(kind quetzalroad.ObjectKind, data []byte) (quetzalroad.Object, error) {
	if bytes.Equal(bytes.TrimSpace(data), []byte("null")) {
		return quetzalroad.Object{}, nil
	}
	v := &validator{}
	var o quetzalroad.Object
	var err error
	switch kind {
	case quetzalroad.ObjectProfile:
		o.Profile, err = v.decodeProfile(data)
	case quetzalroad.ObjectTeam:
		o.Team, err = v.decodeTeam(data)
	case quetzalroad.ObjectService:
		o.Service, err = v.decodeService(data)
	case quetzalroad.ObjectUpstream:
		o.Upstream, err = v.decodeUpstream(data)
	default:
		err = errors.Newf("unknown kind of object %q", kind)
	}
	if err != nil {
		return quetzalroad.Object{}, err
	}
	if len(v.problems) > 0 {
		return quetzalroad.Object{}, &quetzalroad.InvalidError{Problems: v.problems}
	}
	return o, nil
}

// validator collects the problems of one object.
type validator struct {
	problems []quetzalroad.Problem
}

func (v *validator) addProblem(path, format string, args ...any) {
	v.problems = append(v.problems, quetzalroad.Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

func unmarshalStrict(data []byte, target any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	return d.Decode(target)
}

func (v *validator) checkName(path, text string) string {
	if !configloader.IsKebabCase(text) {
		v.addProblem(path, "%q is not a kebab-case name", text)
	}
	return text
}

func (v *validator) parseDuration(path, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		v.addProblem(path, "%q is not a positive duration such as \"250ms\"", text)
	}
	return d
}

func (v *validator) checkMin(path string, n, minimum int) int {
	if n < minimum {
		v.addProblem(path, "%d is less than %d", n, minimum)
	}
	return n
}

func (v *validator) decodeProfile(data []byte) (*quetzalroad.Profile, error) {
	var j profileJSON
	if err := unmarshalStrict(data, &j); err != nil {
		return nil, err
	}
	p := &quetzalroad.Profile{
		Name: quetzalroad.ProfileName(v.checkName("name", j.Name)), Class: quetzalroad.Class(v.checkName("class", j.Class)),
		Tier:             quetzalroad.Tier(j.Tier),
		FirstTokenTarget: v.parseDuration("first-token-target", j.FirstTokenTarget), Timeout: v.parseDuration("timeout", j.Timeout),
		Idempotent: j.Idempotent, Interactive: j.Interactive, Preemptible: j.Preemptible,
		MaxTokens: v.checkMin("max-tokens", j.MaxTokens, 0), Revision: quetzalroad.Revision(j.Revision),
	}
	if j.Tier < 0 || j.Tier >= quetzalroad.MaxTiers {
		v.addProblem("tier", "%d is not between 0 and %d", j.Tier, quetzalroad.MaxTiers-1)
	}
	if p.Timeout < p.FirstTokenTarget {
		v.addProblem("timeout", "is shorter than first-token-target")
	}
	if p.Preemptible && p.Interactive {
		v.addProblem("preemptible", "interactive work is never paused")
	}
	if p.Preemptible && !p.Idempotent {
		v.addProblem("preemptible", "only idempotent work can be paused")
	}
	return p, nil
}

func (v *validator) decodeTeam(data []byte) (*quetzalroad.Team, error) {
	var j teamJSON
	if err := unmarshalStrict(data, &j); err != nil {
		return nil, err
	}
	t := &quetzalroad.Team{
		Name: quetzalroad.TeamName(v.checkName("name", j.Name)), DefaultProfile: quetzalroad.ProfileName(v.checkName("default-profile", j.DefaultProfile)),
		Weight: v.checkMin("weight", j.Weight, 0), MaxTokensPerSecond: v.checkMin("tokens-per-second", j.TokensPerSecond, 0),
		MaxConcurrency: v.checkMin("concurrency", j.Concurrency, 0), Revision: quetzalroad.Revision(j.Revision),
	}
	for i, text := range j.KeyHashes {
		var h quetzalroad.KeyHash
		b, err := hex.DecodeString(text)
		if err != nil || len(b) != len(h) {
			v.addProblem(fmt.Sprintf("key-hashes[%d]", i), "is not the hex form of a SHA-256 sum")
			continue
		}
		copy(h[:], b)
		t.KeyHashes = append(t.KeyHashes, h)
	}
	return t, nil
}

func (v *validator) decodeService(data []byte) (*quetzalroad.Service, error) {
	var j serviceJSON
	if err := unmarshalStrict(data, &j); err != nil {
		return nil, err
	}
	s := &quetzalroad.Service{
		Name: quetzalroad.ServiceName(v.checkName("name", j.Name)), Kind: quetzalroad.ServiceKind(j.Kind),
		MaxConcurrency: v.checkMin("concurrency", j.Concurrency, 0), Revision: quetzalroad.Revision(j.Revision),
	}
	if j.DefaultProfile != "" {
		s.DefaultProfile = quetzalroad.ProfileName(v.checkName("default-profile", j.DefaultProfile))
	}
	for _, m := range j.Models {
		s.Models = append(s.Models, quetzalroad.ModelName(m))
	}
	if s.Kind != quetzalroad.ServiceKindEngine && s.Kind != quetzalroad.ServiceKindPlain {
		v.addProblem("kind", "%q is neither %q nor %q", j.Kind, quetzalroad.ServiceKindEngine, quetzalroad.ServiceKindPlain)
	}
	if s.Kind == quetzalroad.ServiceKindEngine && len(s.Models) == 0 {
		v.addProblem("models", "an engine service needs at least one model")
	}
	return s, nil
}

func (v *validator) decodeUpstream(data []byte) (*quetzalroad.Upstream, error) {
	var j upstreamJSON
	if err := unmarshalStrict(data, &j); err != nil {
		return nil, err
	}
	address, err := netip.ParseAddrPort(j.Address)
	if err != nil {
		v.addProblem("address", "%q is not an IP address with a port", j.Address)
	}
	return &quetzalroad.Upstream{
		Name: quetzalroad.UpstreamName(v.checkName("name", j.Name)), Service: quetzalroad.ServiceName(v.checkName("service", j.Service)),
		Address: address, DataCentre: quetzalroad.DataCentre(v.checkName("data-centre", j.DataCentre)),
		Region: quetzalroad.Region(v.checkName("region", j.Region)), MaxConcurrency: v.checkMin("slots", j.Slots, 1),
		ChecksFencing: j.ChecksFencing, Draining: j.Draining, Revision: quetzalroad.Revision(j.Revision),
	}, nil
}
