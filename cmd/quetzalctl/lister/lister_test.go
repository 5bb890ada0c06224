package lister

import (
	"context"
	"flag"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad/support/commander"
)

func TestFlagsReachRun(t *testing.T) {
	tests := []struct {
		name string
		args []string
		exit int
		json bool
	}{
		{"table", []string{"-nodes", "127.0.0.1:1", "-key", "k"}, 0, false},
		{"json", []string{"-nodes", "127.0.0.1:1", "-key", "k", "-json"}, 0, true},
		{"no node", []string{"-nodes", "", "-key", "k"}, 2, false},
		{"not an address", []string{"-nodes", "localhost", "-key", "k"}, 2, false},
		{"no key", []string{"-nodes", "127.0.0.1:1", "-key", ""}, 2, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var errOut strings.Builder
			var got *listOptions
			c := &Command{Streams: commander.IOStreams{ErrOut: &errOut}, Kind: "teams", Run: func(_ context.Context, o *listOptions) error {
				got = o
				return nil
			}}
			f := flag.NewFlagSet("list", flag.ContinueOnError)
			c.SetFlags(f)
			if err := f.Parse(test.args); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(test.exit, int(c.Execute(context.Background(), f))); diff != "" {
				t.Errorf("exit code (-want +got):\n%s\n%s", diff, errOut.String())
			}
			if test.exit == 0 && (got == nil || got.JSON != test.json || got.kind != "teams") {
				t.Errorf("unexpected options %+v", got)
			}
		})
	}
}
