package kernel_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/tailscale/hujson"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/codecs/objectmapper"
)

func TestExampleObjectsAreValid(t *testing.T) {
	files, err := filepath.Glob("../examples/*/objects.hujson")
	if err != nil || len(files) != 2 {
		t.Fatalf("examples: %v, %v", files, err)
	}
	kinds := map[string]quetzalroad.ObjectKind{
		"profiles": quetzalroad.ObjectProfile, "teams": quetzalroad.ObjectTeam, "services": quetzalroad.ObjectService, "upstreams": quetzalroad.ObjectUpstream,
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if data, err = hujson.Standardize(data); err != nil {
			t.Fatal(err)
		}
		var objects map[string][]json.RawMessage
		if err := json.Unmarshal(data, &objects); err != nil {
			t.Fatal(err)
		}
		for plural, list := range objects {
			for _, object := range list {
				if _, err := objectmapper.Decode(kinds[plural], object); err != nil {
					t.Errorf("%s: %s: %s: %v", file, plural, object, err)
				}
			}
		}
	}
}
