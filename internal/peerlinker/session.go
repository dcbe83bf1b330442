package peerlinker

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"golang.org/x/sync/errgroup"

	"github.com/peppertrack/peppertrack/internal/peermessenger"
	"github.com/peppertrack/peppertrack/internal/sleeper"
)

// session is one established outgoing connection of a link, to one incarnation of
// the peer.
type session struct {
	linker *Linker
	conn   *websocket.Conn
	tcp    net.Conn // below conn
	peer   Peer
	outbox *outbox

	sentTable   []byte    // the last peer table sent; owned by shareTable
	tableSentAt time.Time // zero: no table was sent

	toldUnneeded bool // the peer was told that this VM doesn't need the link; guarded by the linker's mutex
}

func newSession(l *Linker, conn *websocket.Conn, tcp net.Conn, peer Peer) *session {
	return &session{
		linker: l,
		conn:   conn,
		tcp:    tcp,
		peer:   peer,
		outbox: newOutbox(),
	}
}

// setGraceful sets whether the end of the session leaves it to the system to deliver what
// the peer has not received. Those messages arrive whenever a partition heals, even after
// those of a later session. Otherwise the end resets the connection.
func (s *session) setGraceful(graceful bool) {
	tcp, ok := s.tcp.(*net.TCPConn)
	if !ok {
		return
	}
	linger := 0 // seconds
	if graceful {
		linger = -1 // the system's default
	}
	_ = tcp.SetLinger(linger) // it fails only if the connection is closed already
}

// serve sends messages and pings until either fails or the context ends.
func (s *session) serve(ctx context.Context) {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.write(ctx) })
	group.Go(func() error { return s.ping(ctx) })
	group.Go(func() error {
		_, _, err := s.conn.Read(ctx) // handles control frames; the peer sends data only on its own outgoing connection
		return errors.CombineErrors(err, errors.New("the peer closed the link"))
	})
	_ = group.Wait() // connect reports PeerDown whatever the cause
}

// send queues a message. A full outbox ends the session.
func (s *session) send(message []byte) bool { return s.outbox.put(message) }

// write sends the messages of the outbox in batches until an error.
func (s *session) write(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.outbox.wake:
		}
		messages, full := s.outbox.take()
		if full {
			return errors.New("the outbox is full: the peer reads too slowly")
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

// writeBatch sends the first messages in one frame, and returns their number.
func (s *session) writeBatch(ctx context.Context, messages [][]byte) (int, error) {
	batch := firstBatch(messages, maxBatchBytes)
	frame, err := peermessenger.EncodeBatch(batch)
	if err != nil {
		return 0, err
	}
	s.linker.counters.countSent(len(batch), len(frame))
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return len(batch), s.conn.Write(ctx, websocket.MessageBinary, frame)
}

// firstBatch returns the shortest run of first messages that has at least the
// given size in bytes, or all messages.
func firstBatch(messages [][]byte, bytes int) [][]byte {
	size := 0
	for i, m := range messages {
		size += len(m)
		if size >= bytes {
			return messages[:i+1]
		}
	}
	return messages
}

// ping sends pings until the peer does not answer one within pingTimeout.
func (s *session) ping(ctx context.Context) error {
	for {
		if err := sleeper.Sleep(ctx, s.linker.pingInterval()); err != nil {
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
