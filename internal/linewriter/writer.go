// Package linewriter writes log lines without ever blocking who logs. Its rate
// is bounded; lines above it are dropped and counted in a line of their own.
package linewriter

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// ringBytes bounds the lines that wait to be written: some seconds at the
	// bounded rate.
	ringBytes = 1 << 20
	// linesPerSecond bounds the rate: about three times what a VM logs on its
	// share of the heaviest known load.
	linesPerSecond = 600
	// burstLines may be written at once.
	burstLines = 3000
	// flushInterval joins lines into one write.
	flushInterval = 100 * time.Millisecond
)

// Writer is an io.Writer whose Write never blocks. Each Write is one line.
type Writer struct {
	out  io.Writer
	done chan struct{}
	wait sync.WaitGroup

	mu      sync.Mutex
	buffer  []byte
	tokens  float64
	filled  time.Time
	dropped uint64 // since the last line that told of it
	total   uint64
}

// New returns a Writer that writes to out until Close.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, done: make(chan struct{}), tokens: burstLines, filled: time.Now()}
	w.wait.Go(w.run)
	return w
}

// Write takes a line, or drops it.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.tokens = min(w.tokens+now.Sub(w.filled).Seconds()*linesPerSecond, burstLines)
	w.filled = now
	if w.tokens < 1 || len(w.buffer)+len(line) > ringBytes {
		w.dropped++
		w.total++
		return len(line), nil
	}
	w.tokens--
	w.buffer = append(w.buffer, line...)
	return len(line), nil
}

// Dropped returns the number of lines that were dropped since the start.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

// Close writes what waits and ends the Writer.
func (w *Writer) Close() error {
	close(w.done)
	w.wait.Wait()
	return w.flush()
}

func (w *Writer) run() {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.done:
			return
		case <-ticker.C:
			_ = w.flush() // a log that can't be written can't be told of either
		}
	}
}

func (w *Writer) flush() error {
	w.mu.Lock()
	lines, dropped := w.buffer, w.dropped
	w.buffer, w.dropped = nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", dropped)
	}
	if len(lines) == 0 {
		return nil
	}
	_, err := w.out.Write(lines)
	return err
}
