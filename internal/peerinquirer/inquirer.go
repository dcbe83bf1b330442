// Package peerinquirer asks peers for a report and collects the answers that
// arrive in time.
package peerinquirer

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// maxOpen bounds the queries that wait for a reply.
const maxOpen = 4096

// Options configures an Inquirer.
type Options struct {
	Send   func(to identifier.Member, m peermessenger.Message) bool // must not block
	Report func(kind peermessenger.ReportKind) ([]byte, error)      // returns this VM's own report
}

// Answer is the outcome of the query to one peer: its report or an error.
type Answer struct {
	Member identifier.Member
	Data   []byte
	Err    error
}

// Inquirer asks peers for reports and answers their queries. It is safe for
// concurrent use.
type Inquirer struct {
	opts Options

	mu         sync.Mutex
	lastNumber peermessenger.RequestNumber
	open       map[peermessenger.RequestNumber]chan []byte
}

// New returns an Inquirer.
func New(opts Options) *Inquirer {
	return &Inquirer{opts: opts, open: make(map[peermessenger.RequestNumber]chan []byte)}
}

// Ask asks each peer for a report. The answers are in the order of the peers. The
// answer of a peer that has not replied when the context ends holds an error.
func (q *Inquirer) Ask(ctx context.Context, peers []identifier.Member, kind peermessenger.ReportKind) []Answer {
	answers := make([]Answer, len(peers))
	var wg sync.WaitGroup
	for i, peer := range peers {
		wg.Go(func() {
			data, err := q.askOne(ctx, peer, kind)
			answers[i] = Answer{Member: peer, Data: data, Err: err}
		})
	}
	wg.Wait()
	return answers
}

func (q *Inquirer) askOne(ctx context.Context, peer identifier.Member, kind peermessenger.ReportKind) (data []byte, err error) {
	defer func() { err = errors.Wrapf(err, "asking %s", peer) }()
	number, reply, err := q.register()
	if err != nil {
		return nil, err
	}
	defer q.forget(number)
	if !q.opts.Send(peer, peermessenger.ReportQuery{Number: number, Kind: kind}) {
		return nil, errors.New("no link to it stands")
	}
	select {
	case data := <-reply:
		if len(data) == 0 {
			return nil, errors.New("it has no such report")
		}
		return data, nil
	case <-ctx.Done():
		return nil, errors.New("it has not answered in time")
	}
}

func (q *Inquirer) register() (number peermessenger.RequestNumber, reply chan []byte, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.open) >= maxOpen {
		return 0, nil, errors.Newf("%d queries are open", len(q.open))
	}
	q.lastNumber++
	reply = make(chan []byte, 1)
	q.open[q.lastNumber] = reply
	return q.lastNumber, reply, nil
}

func (q *Inquirer) forget(number peermessenger.RequestNumber) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.open, number)
}

// Receive answers a peer's query or delivers its reply. It ignores other
// messages.
func (q *Inquirer) Receive(from identifier.Member, m peermessenger.Message) {
	switch m := m.(type) {
	case peermessenger.ReportQuery:
		data, err := q.opts.Report(m.Kind)
		if err != nil {
			data = nil // empty data tells the peer that there is no such report
		}
		q.opts.Send(from, peermessenger.ReportReply{Number: m.Number, Data: data})
	case peermessenger.ReportReply:
		q.deliver(m)
	}
}

func (q *Inquirer) deliver(m peermessenger.ReportReply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	reply, ok := q.open[m.Number]
	if !ok {
		return // the query has ended
	}
	select {
	case reply <- m.Data:
	default: // the query has a reply already
	}
}
