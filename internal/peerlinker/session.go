package peerlinker

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"golang.org/x/sync/errgroup"

	"github.com/peppertrack/peppertrack/internal/peermessenger"
	"github.com/peppertrack/peppertrack/internal/sleeper"
)

// session is one connection of a link, to one incarnation of the peer.
type session struct {
	linker *Linker
	conn   *websocket.Conn
	peer   Peer
	outbox *outbox

	sentTable []byte // the last table sent; owned by shareTable
}

func newSession(l *Linker, conn *websocket.Conn, peer Peer) *session {
	return &session{
		linker: l,
		conn:   conn,
		peer:   peer,
		outbox: newOutbox(),
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
func (s *session) send(message []byte) bool { return s.outbox.put(message) }

// write sends what waits in the outbox, joined in batches.
func (s *session) write(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.outbox.wake:
		}
		messages, full := s.outbox.take()
		if full {
			return errors.New("the peer is too slow")
		}
		for len(messages) > 0 {
			n, err := s.writeBatch(ctx, messages)
			if err != nil {
				return err
			}
			messages = messages[n:]
		}
	}
}

// writeBatch sends as many of the messages as a frame takes, and returns their number.
func (s *session) writeBatch(ctx context.Context, messages [][]byte) (int, error) {
	batch := upTo(messages, maxBatchBytes)
	frame, err := peermessenger.EncodeBatch(batch)
	if err != nil {
		return 0, err
	}
	s.linker.counts.sent(len(batch), len(frame))
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return len(batch), s.conn.Write(ctx, websocket.MessageBinary, frame)
}

// upTo returns the first messages, at least one, until they reach a size in bytes.
func upTo(messages [][]byte, bytes int) [][]byte {
	size := 0
	for i, m := range messages {
		size += len(m)
		if size >= bytes {
			return messages[:i+1]
		}
	}
	return messages
}

// ping fails when the peer does not answer in time.
func (s *session) ping(ctx context.Context) error {
	for {
		if err := sleeper.Sleep(ctx, s.linker.pingPause()); err != nil {
			return err
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
