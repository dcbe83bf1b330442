// Package logexplainer joins the log lines of several VMs into the story of one
// job.
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

// maxLineBytes bounds a log line.
const maxLineBytes = 1 << 20

// Line is a log line that tells of the job.
type Line struct {
	At       time.Time
	VM       string
	Decision string // or the message, where no decision is told
	Fields   map[string]string
}

// Story is what the logs tell of one job.
type Story struct {
	Lines   []Line
	Dropped int // lines that VMs had to drop from their logs
}

// Read adds the lines of one log that tell of a job. Text before a line's JSON,
// and lines without, are skipped.
func (s *Story) Read(r io.Reader, job string) (err error) {
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
			continue // text of another program
		}
		s.add(fields, job)
	}
	return scanner.Err()
}

func (s *Story) add(fields map[string]any, job string) {
	if fields["msg"] == "log lines dropped" {
		if n, ok := fields["lines"].(float64); ok {
			s.Dropped += int(n)
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
			line.At, _ = time.Parse(time.RFC3339Nano, text) // without a time the line comes first
		case "vm":
			line.VM = text
		case "decision", "msg":
			line.Decision = text
		case "job", "level":
		default:
			line.Fields[name] = text
		}
	}
	s.Lines = append(s.Lines, line)
}

// Write tells the story in the order of time, with what is missing in it.
func (s *Story) Write(w io.Writer) error {
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	var b strings.Builder
	for _, line := range s.Lines {
		fmt.Fprintf(&b, "%9.3fs %s %s", line.At.Sub(s.Lines[0].At).Seconds(), line.VM, line.Decision)
		for _, name := range slices.SortedFunc(maps.Keys(line.Fields), cmp.Compare[string]) {
			fmt.Fprintf(&b, " %s=%s", name, line.Fields[name])
		}
		b.WriteByte('\n')
	}
	for _, missing := range s.missing() {
		fmt.Fprintf(&b, "missing: %s\n", missing)
	}
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "writing the story")
}

// missing names what a whole story would have.
func (s *Story) missing() (missing []string) {
	seen := make(map[string]bool)
	for _, line := range s.Lines {
		seen[line.Decision] = true
	}
	taken := seen["jobAdmitted"] || seen["jobRefused"]
	switch {
	case len(s.Lines) == 0:
		missing = append(missing, "every line: no VM whose log is here has handled the job, or its lines were dropped")
	case !taken:
		missing = append(missing, "the line of the VM that took or refused the job")
	case seen["jobAdmitted"] && !seen["jobEnded"] && !seen["jobAbandoned"]:
		missing = append(missing, "the job's end: its VM was lost, or its log ends before")
	}
	if s.Dropped > 0 {
		missing = append(missing, fmt.Sprintf("%d lines that VMs dropped, of any job", s.Dropped))
	}
	return missing
}
