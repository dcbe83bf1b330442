package linewriter

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestBoundedRate checks that lines above the rate limit are dropped and counted,
// and that lines are accepted again a second later.
func TestBoundedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		w := New(&out)
		const lines = burstLines + 500
		for range lines {
			if _, err := w.Write([]byte("x\n")); err != nil {
				t.Fatal(err)
			}
		}
		if w.Dropped() != 500 {
			t.Errorf("%d lines were dropped, want 500", w.Dropped())
		}
		time.Sleep(time.Second)
		for range linesPerSecond {
			_, _ = w.Write([]byte("y\n"))
		}
		if err := w.Close(); err != nil {
			t.Fatal(err)
		}
		if n := strings.Count(out.String(), "y\n"); n != linesPerSecond {
			t.Errorf("%d lines were written a second later, want all", n)
		}
		if !strings.Contains(out.String(), `"lines":500`) {
			t.Error("no line reports the number of dropped lines")
		}
	})
}

// blockedWriter blocks each Write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// TestNeverBlocks checks that Write does not block while the output is blocked.
func TestNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := blockedWriter{release: make(chan struct{})}
		w := New(out)
		line := []byte(strings.Repeat("x", 4096) + "\n")
		for range 20000 {
			if _, err := w.Write(line); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Millisecond)
		}
		if w.Dropped() == 0 {
			t.Error("no line was dropped")
		}
		close(out.release)
		if err := w.Close(); err != nil {
			t.Fatal(err)
		}
	})
}
