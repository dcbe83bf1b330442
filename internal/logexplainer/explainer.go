// Package logexplainer merges the log lines of several VMs into the timeline of
// one job.
package logexplainer

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// Line is a log line about the job.
type Line struct {
	At       time.Time
	VM       string
	Decision string // the message, if the line has no decision
	Fields   map[string]string
}

// Timeline holds the log lines about one job.
type Timeline struct {
	Lines   []Line
	Dropped int // log lines of any job that VMs dropped
}

// Read adds the lines about a job from one log. It skips text before a line's JSON
// and lines without JSON.
func (t *Timeline) Read(r io.Reader, job string) (err error) {
	defer func() { err = errors.Wrap(err, "reading the log") }()
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		var fields map[string]any
		if err := json.Unmarshal(scanner.Bytes()[start:], &fields); err != nil {
			continue // not a log line, but text of another program
		}
		t.add(fields, job)
	}
	return scanner.Err()
}

func (t *Timeline) add(fields map[string]any, job string) {
	if fields["msg"] == "log lines dropped" {
		if n, ok := fields["lines"].(float64); ok {
			t.Dropped += int(n)
		}
		return
	}
	if fields["job"] != job {
		return
	}
	line := Line{Fields: make(map[string]string)}
	for name, value := range fields {
		text := fmt.Sprint(value)
		switch name {
		case "ts":
			line.At, _ = time.Parse(time.RFC3339Nano, text) // a line without a time is sorted first
		case "vm":
			line.VM = text
		case "decision", "msg":
			line.Decision = text
		case "job", "level":
		default:
			line.Fields[name] = text
		}
	}
	t.Lines = append(t.Lines, line)
}

// Write writes the lines in order of time, then says which are missing.
func (t *Timeline) Write(w io.Writer) error {
	slices.SortStableFunc(t.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	var b strings.Builder
	for _, line := range t.Lines {
		fmt.Fprintf(&b, "%9.3fs %s %s", line.At.Sub(t.Lines[0].At).Seconds(), line.VM, line.Decision)
		for _, name := range slices.SortedFunc(maps.Keys(line.Fields), cmp.Compare[string]) {
			fmt.Fprintf(&b, " %s=%s", name, line.Fields[name])
		}
		b.WriteByte('\n')
	}
	for _, missing := range t.missing() {
		fmt.Fprintf(&b, "missing: %s\n", missing)
	}
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "writing the timeline")
}

// missing describes the lines that a complete timeline would also have.
func (t *Timeline) missing() (missing []string) {
	seen := make(map[string]bool)
	for _, line := range t.Lines {
		seen[line.Decision] = true
	}
	decided := seen["jobAdmitted"] || seen["jobRefused"]
	switch {
	case len(t.Lines) == 0:
		missing = append(missing, "every line: no VM whose log is here has handled the job, or its lines were dropped")
	case !decided:
		missing = append(missing, "the line of the VM that admitted or refused the job")
	case seen["jobAdmitted"] && !seen["jobEnded"] && !seen["jobAbandoned"]:
		missing = append(missing, "the job's end: its VM was lost, or its log ends before")
	}
	if t.Dropped > 0 {
		missing = append(missing, fmt.Sprintf("%d log lines that VMs dropped; they may be about any job", t.Dropped))
	}
	return missing
}
