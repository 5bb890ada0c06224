package printer

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad/support/commander"
)

func TestTableIsAlignedOnATerminalAndTabbedInAPipe(t *testing.T) {
	for terminal, want := range map[bool]string{
		true:  "name  tier\na     1\nlong  2\n",
		false: "a\t1\nlong\t2\n",
	} {
		var out strings.Builder
		err := Table(commander.IOStreams{Out: &out, IsTerminal: terminal}, []string{"name", "tier"}, [][]string{{"a", "1"}, {"long", "2"}})
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, out.String()); diff != "" {
			t.Errorf("terminal %t (-want +got):\n%s", terminal, diff)
		}
	}
}
