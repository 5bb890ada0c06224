package explainer

import (
	"bytes"
	"context"
	"log/slog"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/proofs/faker"
	"github.com/quetzalroad/quetzalroad/support/commander"
	"github.com/quetzalroad/quetzalroad/support/logger"
)

// captureLogs runs a request on a node and returns the node's log.
func captureLogs(t *testing.T, prepare func(log *faker.KeyedLog, forwards *faker.ForwardClient)) string {
	t.Helper()
	var out bytes.Buffer
	synctest.Test(t, func(t *testing.T) {
		log, logWriter := logger.New(&out, slog.LevelInfo)
		var keyedLog faker.KeyedLog
		var forwards faker.ForwardClient
		node, err := faker.BuildForwardNode(log, nil,
			kernel.Override{Slot: kernel.SlotKeyedLog, Component: &keyedLog}, kernel.Override{Slot: kernel.SlotForwardClient, Component: &forwards})
		if err != nil {
			t.Fatal(err)
		}
		keyedLog.Put(quetzalroad.LogStreamOperators, "config", quetzalroad.PublishedState{
			Version: 1, Services: []quetzalroad.Service{{Name: "service"}},
			Teams: []quetzalroad.Team{{Name: "team", KeyHashes: []quetzalroad.KeyHash{quetzalroad.HashKey("key")}}},
		})
		keyedLog.Put(quetzalroad.LogStreamUpstreams, "a", quetzalroad.UpstreamRegistration{Upstream: quetzalroad.Upstream{
			Service: "service", Address: netip.MustParseAddrPort("10.0.0.1:80"), DataCentre: "west-1", InstanceID: "a", MaxConcurrency: 4,
		}})
		node.Start()
		time.Sleep(time.Second)
		prepare(&keyedLog, &forwards)
		request := &quetzalroad.ForwardRequest{Key: quetzalroad.HashKey("key"), HasKey: true}
		request.ID, request.Arrived, request.Team = "request-1", time.Now(), quetzalroad.Team{Name: "team"}
		request.Route = quetzalroad.Route{Name: "route", MaxExecutions: 1, TrafficSplit: []quetzalroad.WeightedService{{Service: "service", Weight: 1}}}
		request.Profile = quetzalroad.Profile{Class: "class", Timeout: 5 * time.Second, FirstTokenTarget: time.Second}
		err = node.Forwarder.Forward(t.Context(), request, new(faker.ForwardSink))
		var refusal *quetzalroad.Refusal
		if !errors.As(err, &refusal) {
			t.Fatalf("err = %v, want a refusal", err)
		}
		// In a full node the forward server logs the refusal.
		node.Logger.Info("request refused", "request-id", "request-1", "reason", string(refusal.Reason), "outcome", string(refusal.Outcome), "error", refusal.Cause)
		node.Kill()
		if err := node.Wait(); err != nil {
			t.Error(err)
		}
		if err := logWriter.Close(); err != nil {
			t.Error(err)
		}
	})
	return out.String()
}

func explain(t *testing.T, logs, id string) (string, error) {
	t.Helper()
	var out strings.Builder
	err := runExplain(t.Context(), &options{streams: commander.IOStreams{Out: &out}, in: strings.NewReader(logs), id: id})
	return out.String(), err
}

func TestExplainFindsCauseInLogs(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(*faker.KeyedLog, *faker.ForwardClient)
		want    []string
	}{
		"upstream full": {func(_ *faker.KeyedLog, f *faker.ForwardClient) {
			f.Script = func(_ context.Context, a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
				return nil, &quetzalroad.AttemptError{
					Upstream: a.Upstream.Name, NotRun: true, RetryReason: quetzalroad.RetryNotRun, Cause: errors.New("full"), LoadReport: &quetzalroad.LoadReport{Running: 4, Waiting: 9},
				}
			}
		}, []string{"upstream chosen", "cause: refused (upstream-failed, not-run)", "4 running and 9 waiting"}},
		"response lost": {func(_ *faker.KeyedLog, f *faker.ForwardClient) {
			f.Script = func(_ context.Context, a *quetzalroad.Attempt) (*faker.ScriptedResponse, error) {
				return nil, &quetzalroad.AttemptError{Upstream: a.Upstream.Name, RetryReason: quetzalroad.RetryConnectionLost, Cause: errors.New("reset by peer")}
			}
		}, []string{"cause: refused (upstream-answer-lost, unknown)", "failed as connection-lost (not run: false)", "reset by peer"}},
		"state too old": {func(l *faker.KeyedLog, _ *faker.ForwardClient) {
			l.SetUnavailable(true)
			time.Sleep(6 * time.Second)
		}, []string{"log lost", "cause: refused (stale-state, not-run)"}},
	} {
		t.Run(name, func(t *testing.T) {
			output, err := explain(t, captureLogs(t, test.prepare), "request-1")
			if err != nil {
				t.Fatal(err)
			}
			for _, want := range test.want {
				if !strings.Contains(output, want) {
					t.Errorf("output lacks %q:\n%s", want, output)
				}
			}
		})
	}
}

func TestExplainFailsForUnknownRequest(t *testing.T) {
	if _, err := explain(t, "no json\n{broken\n{\"request-id\":\"other\"}\n", "request-1"); err == nil {
		t.Error("a request without log lines was explained")
	}
}

func TestExplainSkipsPrefixOfLogLines(t *testing.T) {
	output, err := explain(t, `   3.079 node-1 {"time":"2026-12-04T11:00:00Z","msg":"request answered","request-id":"x","upstream":"u","status":200,"took":"12ms"}`, "x")
	if err != nil || !strings.Contains(output, "cause: answered with status 200 by u after 12ms") {
		t.Errorf("%v\n%s", err, output)
	}
}

func TestExplainTellsThatANodeWasBehindItsNeighbours(t *testing.T) {
	output, err := explain(t, `{"time":"2026-12-04T11:00:17Z","msg":"log restored from an older copy; reading the latest of every key","node":"b","stream":"operators","epoch":2,"known":1}
{"time":"2026-12-04T11:00:21Z","msg":"state in force","node":"a","version":15,"epoch":2}
{"time":"2026-12-04T11:00:25Z","msg":"request refused","node":"b","request-id":"x","reason":"unknown-route","outcome":"not-run","state-version":13}`, "x")
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"log restored from an older copy", "this node had version 13 of the state, and a had version 15 4s earlier"} {
		if !strings.Contains(output, want) {
			t.Errorf("output lacks %q:\n%s", want, output)
		}
	}
}
