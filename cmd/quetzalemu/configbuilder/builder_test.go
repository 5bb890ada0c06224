package configbuilder

import (
	"encoding/json"
	"net/netip"
	"strings"
	"testing"
	"time"
)

func TestConfigEncode(t *testing.T) {
	text, err := Config{
		Version: 3, Services: []string{"s"}, APIKeys: map[string]string{"team": "key"},
		Routes: []Route{{Name: "draft", Host: "h", Kind: Streaming, Service: "s", Timeout: 2 * time.Second, Resumable: true}},
	}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	var decoded map[string]any
	if err := json.Unmarshal([]byte(text), &decoded); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`"pathPrefix":"/draft/"`, `"resumeStreams":true`, `"timeoutMs":2000`, `"apiKeys":["key"]`, `"version":3`} {
		if !strings.Contains(text, want) {
			t.Errorf("%s is missing in %s", want, text)
		}
	}
}

func TestRenderSettings(t *testing.T) {
	address := netip.MustParseAddrPort("127.0.0.1:7000")
	params := NodeParameters{Name: "node", DataCentre: "zone-1", Region: "region-1", CallerAddress: address, ReadinessAddress: address, StoreAddress: address, PeerPort: 7002, RevocationTimeout: 5 * time.Second}
	text, err := params.RenderSettings(`{{node}} {{listen.front}} {{bounds.revokeMs}} {{ipAddress}}:{{internalPortRange.0}} {{#zones}}{{@}}={{.}}{{/zones}}`)
	if want := "node 127.0.0.1:7000 5000 127.0.0.1:7002 zone-1=region-1"; err != nil || text != want {
		t.Errorf("%q, %v, want %q", text, err, want)
	}
}
