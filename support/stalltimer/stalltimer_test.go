package stalltimer_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad/support/stalltimer"
)

func TestContextEndsOnceTheTransferStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := stalltimer.WithTimeout(t.Context(), time.Second, 300*time.Millisecond)
		defer cancel()
		time.Sleep(900 * time.Millisecond)
		for range 50 {
			stalltimer.Advance(ctx)
			time.Sleep(200 * time.Millisecond)
			if ctx.Err() != nil {
				t.Fatal("the context ended during the transfer:", context.Cause(ctx))
			}
		}
		begin := time.Now()
		<-ctx.Done()
		if diff := cmp.Diff(100*time.Millisecond, time.Since(begin)); diff != "" || !errors.Is(context.Cause(ctx), stalltimer.ErrStalled) {
			t.Errorf("cause %v; end after the last advance (-want +got):\n%s", context.Cause(ctx), diff)
		}
	})
}

func TestContextEndsIfNothingArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := stalltimer.WithTimeout(t.Context(), time.Second, time.Minute)
		defer cancel()
		begin := time.Now()
		<-ctx.Done()
		if diff := cmp.Diff(time.Second, time.Since(begin)); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
	})
}

func TestReaderAdvancesAllTimers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outer, cancelOuter := stalltimer.WithTimeout(t.Context(), time.Second, time.Second)
		defer cancelOuter()
		inner, cancelInner := stalltimer.WithTimeout(outer, time.Second, time.Second)
		defer cancelInner()
		derived, cancel := context.WithCancel(inner)
		defer cancel()
		source := iotest.OneByteReader(strings.NewReader("some text"))
		reader := stalltimer.Reader{Context: derived, Source: source}
		for err := error(nil); !errors.Is(err, io.EOF); {
			time.Sleep(600 * time.Millisecond)
			_, err = reader.Read(make([]byte, 8))
		}
		if outer.Err() != nil || inner.Err() != nil {
			t.Error("a context ended during the transfer:", context.Cause(outer), context.Cause(inner))
		}
		time.Sleep(time.Second)
		if !errors.Is(context.Cause(derived), stalltimer.ErrStalled) || outer.Err() == nil {
			t.Error("a context outlived the transfer:", context.Cause(outer), context.Cause(derived))
		}
	})
}

func TestCancelledTimerIsNotStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := stalltimer.WithTimeout(t.Context(), time.Second, time.Second)
		cancel()
		stalltimer.Advance(ctx)
		time.Sleep(time.Minute)
		if !errors.Is(context.Cause(ctx), context.Canceled) {
			t.Error("cause:", context.Cause(ctx))
		}
	})
}
