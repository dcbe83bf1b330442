package linewriter

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestBoundedRate holds that lines above the rate are dropped and counted, and
// that the rate is there again later.
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
			t.Errorf("%d lines are dropped", w.Dropped())
		}
		time.Sleep(time.Second)
		for range linesPerSecond {
			_, _ = w.Write([]byte("y\n"))
		}
		if err := w.Close(); err != nil {
			t.Fatal(err)
		}
		if n := strings.Count(out.String(), "y\n"); n != linesPerSecond {
			t.Errorf("%d lines a second later", n)
		}
		if !strings.Contains(out.String(), `"lines":500`) {
			t.Error("no line tells of what was dropped")
		}
	})
}

// blockedWriter never returns before it is told to.
type blockedWriter struct{ free chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.free
	return len(p), nil
}

// TestNeverBlocks holds that a reader that stands still holds nobody up.
func TestNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := blockedWriter{free: make(chan struct{})}
		w := New(out)
		line := []byte(strings.Repeat("x", 4096) + "\n")
		for range 20000 {
			if _, err := w.Write(line); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Millisecond)
		}
		if w.Dropped() == 0 {
			t.Error("nothing is dropped")
		}
		close(out.free)
		if err := w.Close(); err != nil {
			t.Fatal(err)
		}
	})
}
