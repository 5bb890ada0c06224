package printer

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad/support/commander"
)

func TestTableIsAlignedOnTerminalAndTabSeparatedInPipe(t *testing.T) {
	for isTerminal, want := range map[bool]string{
		true:  "name  tier\na     1\nlong  2\n",
		false: "a\t1\nlong\t2\n",
	} {
		var out strings.Builder
		err := Table(commander.IOStreams{Out: &out, IsTerminal: isTerminal}, []string{"name", "tier"}, [][]string{{"a", "1"}, {"long", "2"}})
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, out.String()); diff != "" {
			t.Errorf("terminal %t (-want +got):\n%s", isTerminal, diff)
		}
	}
}
