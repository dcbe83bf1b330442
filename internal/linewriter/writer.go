// Package linewriter writes log lines without blocking the caller. The rate is
// limited; lines above the limit are dropped, and a log line reports their number.
package linewriter

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferBytes bounds the lines that wait to be written: a few seconds at
	// the rate limit.
	maxBufferBytes = 1 << 20
	// linesPerSecond is the rate limit: about three times what a VM logs under
	// its share of the highest known load.
	linesPerSecond = 600
	// burstLines is the number of lines that may be written at once.
	burstLines = 3000
	// flushInterval is the time for which lines are batched into one write.
	flushInterval = 100 * time.Millisecond
)

// Writer is an io.Writer whose Write never blocks. Each Write is one line.
type Writer struct {
	out  io.Writer
	done chan struct{}
	wait sync.WaitGroup

	mu           sync.Mutex
	buffer       []byte
	tokens       float64 // of the rate limiter; a line takes one
	lastRefill   time.Time
	dropped      uint64 // since the last line that reported them
	droppedTotal uint64 // since the start
}

// New returns a Writer that writes to out until Close.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, done: make(chan struct{}), tokens: burstLines, lastRefill: time.Now()}
	w.wait.Go(w.run)
	return w
}

// Write buffers a line, or drops it when the rate limit or the buffer is exceeded.
// The error is always nil.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.tokens = min(w.tokens+now.Sub(w.lastRefill).Seconds()*linesPerSecond, burstLines)
	w.lastRefill = now
	if w.tokens < 1 || len(w.buffer)+len(line) > maxBufferBytes {
		w.dropped++
		w.droppedTotal++
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
	return w.droppedTotal
}

// Close writes the buffered lines and stops the Writer.
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
			_ = w.flush() // a failure to write the log can't be logged
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
