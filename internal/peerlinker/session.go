package peerlinker

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"golang.org/x/sync/errgroup"

	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// session is one connection of a link, to one incarnation of the peer.
type session struct {
	linker *Linker
	conn   *websocket.Conn
	peer   Peer
	outbox chan peermessenger.Message
	slow   chan struct{} // told by a send that found the outbox full

	sentTable string // digest of the last table sent; owned by shareTable
}

func newSession(l *Linker, conn *websocket.Conn, peer Peer) *session {
	return &session{
		linker: l,
		conn:   conn,
		peer:   peer,
		outbox: make(chan peermessenger.Message, outboxCapacity),
		slow:   make(chan struct{}, 1),
	}
}

// serve sends messages and pings until either fails.
func (s *session) serve() {
	group, ctx := errgroup.WithContext(s.linker.ctx)
	group.Go(func() error { return s.write(ctx) })
	group.Go(func() error { return s.ping(ctx) })
	group.Go(func() error {
		_, _, err := s.conn.Read(ctx) // handles control frames; peers send no data on this direction
		return errors.CombineErrors(err, errors.New("the peer closed the link"))
	})
	_ = group.Wait() // any end of the link is reported as PeerDown
}

// send puts a message into the outbox. A full outbox takes the link down.
func (s *session) send(m peermessenger.Message) bool {
	select {
	case s.outbox <- m:
		return true
	default:
	}
	select {
	case s.slow <- struct{}{}:
	default: // already told
	}
	return false
}

// write sends what waits in the outbox, joined in batches.
func (s *session) write(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.slow:
			return errors.New("the peer is too slow")
		case first := <-s.outbox:
			if err := s.writeBatch(ctx, first); err != nil {
				return err
			}
		}
	}
}

func (s *session) writeBatch(ctx context.Context, first peermessenger.Message) error {
	encoded, err := s.collect(first)
	if err != nil {
		return err
	}
	frame, err := peermessenger.EncodeBatch(encoded)
	if err != nil {
		return err
	}
	s.linker.counts.sent(len(encoded), len(frame))
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return s.conn.Write(ctx, websocket.MessageBinary, frame)
}

// collect encodes a message and those that wait behind it, up to a bound.
func (s *session) collect(first peermessenger.Message) (encoded [][]byte, err error) {
	size := 0
	m := first
	for {
		data, err := peermessenger.Encode(m)
		if err != nil {
			return nil, err
		}
		encoded = append(encoded, data)
		size += len(data)
		if size >= maxBatchBytes {
			return encoded, nil
		}
		select {
		case m = <-s.outbox:
		default:
			return encoded, nil
		}
	}
}

// ping fails when the peer does not answer in time.
func (s *session) ping(ctx context.Context) error {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if err := s.pingOnce(ctx); err != nil {
			return err
		}
	}
}

func (s *session) pingOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return s.conn.Ping(ctx)
}
