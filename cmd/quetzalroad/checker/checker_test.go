package checker

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/quetzalroad/quetzalroad/support/commander"
)

func TestCheckReportsFindingsOfAllFiles(t *testing.T) {
	dir := t.TempDir()
	var files []string
	for _, name := range []string{"a", "b"} {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, []byte(`{"nodes": {}}`), 0o600); err != nil {
			t.Fatal(err)
		}
		files = append(files, file)
	}
	err := runCheck(context.Background(), &options{streams: commander.IOStreams{Out: &strings.Builder{}}, files: files})
	if err == nil {
		t.Fatal("no findings reported")
	}
	for _, file := range files {
		if !strings.Contains(err.Error(), file+`:1:2: nodes: "nodes" is unknown, did you mean "node"?`) {
			t.Errorf("finding of %s is missing in\n%v", file, err)
		}
	}
}
