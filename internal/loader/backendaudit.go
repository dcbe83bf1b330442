package loader

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/auditor"
	"github.com/peppertrack/peppertrack/internal/identifier"
)

const (
	maxAuditBytes     = 1 << 30
	maxAuditLineBytes = 1 << 20
)

// backendSummary holds the fields that the loader reads of the backend servers'
// audit summary.
type backendSummary struct {
	Starts      uint64           `json:"starts"`
	Running     uint64           `json:"running"`
	Endings     map[string]int64 `json:"endings"`
	Refusals    map[string]int64 `json:"refusals"`
	RecordsKept uint64           `json:"recordsKept"`
}

// auditRecord holds the fields that the loader reads of a record of the backend
// servers' audit.
type auditRecord struct {
	Sequence   uint64                  `json:"sequence"`
	Server     identifier.BackendID    `json:"server"`
	Submission identifier.SubmissionID `json:"submission"`
	Index      identifier.TaskIndex    `json:"index"`
	StartedAt  time.Time               `json:"startedAt"`
}

func (s *scraper) backendSummary(ctx context.Context, address string) (summary backendSummary, err error) {
	body, err := s.get(ctx, "http://"+address+"/v1/audit/summary", maxScrapeBytes)
	if err != nil {
		return backendSummary{}, err
	}
	return summary, errors.Wrap(json.Unmarshal(body, &summary), "audit summary")
}

// readStarts returns the starts that follow a sequence number. It fails if some
// of them are no longer kept, since an audit of only a part proves nothing.
func (s *scraper) readStarts(ctx context.Context, address string, after uint64) (starts []auditor.Start, err error) {
	defer func() { err = errors.Wrap(err, "reading the backend servers' audit") }()
	body, err := s.get(ctx, fmt.Sprintf("http://%s/v1/audit?after=%d", address, after), maxAuditBytes)
	if err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(bytes.NewReader(body))
	lines.Buffer(nil, maxAuditLineBytes)
	for lines.Scan() {
		var line auditRecord
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return nil, err
		}
		after++
		if line.Sequence != after {
			return nil, errors.Newf("the record of start %d is no longer kept", after)
		}
		starts = append(starts, auditor.Start{
			Task:    identifier.TaskRef{Submission: line.Submission, Index: line.Index},
			Backend: line.Server,
			At:      line.StartedAt,
		})
	}
	return starts, lines.Err()
}

// serverList holds the fields that the loader reads of the list of backend
// servers.
type serverList struct {
	Servers []struct {
		VM struct {
			Slots identifier.Slots `json:"slots"`
		} `json:"vm"`
	} `json:"servers"`
}

// CountSlots returns the number of slots of all backend servers that an admin
// API manages.
func CountSlots(ctx context.Context, address string) (slots identifier.Slots, err error) {
	defer func() { err = errors.Wrap(err, "counting slots") }()
	body, err := newScraper().get(ctx, "http://"+address+"/v1/servers", maxScrapeBytes)
	if err != nil {
		return 0, err
	}
	var list serverList
	if err := json.Unmarshal(body, &list); err != nil {
		return 0, err
	}
	for _, server := range list.Servers {
		slots += server.VM.Slots
	}
	return slots, nil
}
