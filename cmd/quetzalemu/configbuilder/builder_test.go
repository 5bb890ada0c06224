package configbuilder

import (
	"encoding/json"
	"net/netip"
	"strings"
	"testing"
	"time"
)

func TestAConfigHoldsItsRoutesServicesAndKeys(t *testing.T) {
	text, err := Config{
		Version: 3, Services: []string{"s"}, Keys: map[string]string{"team": "key"},
		Routes: []Route{{Name: "draft", Host: "h", Kind: Streaming, Service: "s", Timeout: 2 * time.Second, Resumable: true}},
	}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	var back map[string]any
	if err := json.Unmarshal([]byte(text), &back); err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{`"pathPrefix":"/draft/"`, `"resumeStreams":true`, `"timeoutMs":2000`, `"apiKeys":["key"]`, `"version":3`} {
		if !strings.Contains(text, part) {
			t.Errorf("%s is missing in %s", part, text)
		}
	}
}

func TestSettingsComeFromTheMachine(t *testing.T) {
	at := netip.MustParseAddrPort("127.0.0.1:7000")
	m := Machine{Name: "node", DataCentre: "zone-1", Region: "region-1", Front: at, Ready: at, Store: at, NodePort: 7002, Revoke: 5 * time.Second}
	text, err := m.Settings(`{{node}} {{listen.front}} {{bounds.revokeMs}} {{ipAddress}}:{{internalPortRange.0}} {{#zones}}{{@}}={{.}}{{/zones}}`)
	if want := "node 127.0.0.1:7000 5000 127.0.0.1:7002 zone-1=region-1"; err != nil || text != want {
		t.Errorf("%q, %v, want %q", text, err, want)
	}
}
