// Package peerinquirer asks all known peers for a report and gathers what they
// answer in time.
package peerinquirer

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// maxOpen bounds the queries that wait for an answer.
const maxOpen = 4096

// Options configure an Inquirer.
type Options struct {
	Send   func(to identifier.Member, m peermessenger.Message) bool // must not block
	Answer func(kind peermessenger.ReportKind) ([]byte, error)      // this VM's own report
}

// Answer is what became of the query to one peer.
type Answer struct {
	Member identifier.Member
	Data   []byte
	Err    error
}

// Inquirer asks peers, and answers them. Its methods may be called by several
// goroutines.
type Inquirer struct {
	opts Options

	mu   sync.Mutex
	last peermessenger.RequestNumber
	open map[peermessenger.RequestNumber]chan []byte
}

// New returns an Inquirer.
func New(opts Options) *Inquirer {
	return &Inquirer{opts: opts, open: make(map[peermessenger.RequestNumber]chan []byte)}
}

// Ask asks each peer for a report. The answers are in the order of the peers; a
// peer that has not answered when the context ends has an error in its place.
func (q *Inquirer) Ask(ctx context.Context, peers []identifier.Member, kind peermessenger.ReportKind) []Answer {
	answers := make([]Answer, len(peers))
	var wait sync.WaitGroup
	for i, peer := range peers {
		wait.Go(func() {
			data, err := q.askOne(ctx, peer, kind)
			answers[i] = Answer{Member: peer, Data: data, Err: err}
		})
	}
	wait.Wait()
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
	q.last++
	reply = make(chan []byte, 1)
	q.open[q.last] = reply
	return q.last, reply, nil
}

func (q *Inquirer) forget(number peermessenger.RequestNumber) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.open, number)
}

// Received takes a query or a reply of a peer.
func (q *Inquirer) Received(from identifier.Member, m peermessenger.Message) {
	switch m := m.(type) {
	case peermessenger.ReportQuery:
		data, err := q.opts.Answer(m.Kind)
		if err != nil {
			data = nil // told to the peer as having no such report
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
		return // it came too late
	}
	select {
	case reply <- m.Data:
	default: // a query has one answer
	}
}
