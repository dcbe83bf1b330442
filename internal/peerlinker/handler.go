package peerlinker

import (
	"context"
	"net/http"

	"github.com/coder/websocket"

	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

const linkPath = "/v1/peer"

// Handler returns the handler of incoming connections.
func (l *Linker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+linkPath, l.accept)
	return mux
}

// accept serves one incoming connection until it is lost.
func (l *Linker) accept(w http.ResponseWriter, r *http.Request) {
	peer, err := parseHello(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if l.opts.Allowed != nil && !l.opts.Allowed(peer) {
		http.Error(w, "the peer is not allowed", http.StatusForbidden)
		return
	}
	for key, values := range helloHeader(l.opts.Self) {
		w.Header()[key] = values
	}
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return // Accept has answered
	}
	defer conn.CloseNow()
	conn.SetReadLimit(peermessenger.MaxMessageSize)
	in := l.addIncoming(peer)
	defer l.removeIncoming(peer, in)
	l.ensureLink(peer)
	l.receive(r.Context(), conn, peer)
}

// receive reports the peer's messages until the incoming connection is lost.
func (l *Linker) receive(ctx context.Context, conn *websocket.Conn, peer Peer) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(l.ctx, cancel)
	defer stop()
	for {
		_, frame, err := conn.Read(ctx)
		if err != nil {
			return
		}
		messages, err := peermessenger.DecodeBatch(frame)
		if err != nil {
			_ = l.opts.Logger.Log("level", "error", "msg", "closing a link that sent a bad frame", "peer", peer.Member, "err", err)
			return
		}
		l.counters.countReceived(len(messages), len(frame))
		l.ensureLink(peer) // the link to the peer may have been forgotten after ForgetAfter
		for _, m := range messages {
			l.deliver(peer, m)
		}
	}
}

func (l *Linker) deliver(from Peer, m peermessenger.Message) {
	switch m := m.(type) {
	case peermessenger.PeerTable:
		l.connectPeers(m)
		return
	case peermessenger.LinkNeed:
		l.setPeerNeeds(from, m.Needed)
		return
	}
	l.opts.Handle(Received{From: from, Message: m})
}
