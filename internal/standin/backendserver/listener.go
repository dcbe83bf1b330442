package backendserver

import "net"

// listener accepts connections of a server. It closes a connection over the
// server's limit at once.
type listener struct {
	net.Listener
	server *server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: nc, server: l.server, closed: make(chan struct{})}
		if l.server.admitConn(c) {
			return c, nil
		}
		_ = nc.Close() // over the limit
	}
}
