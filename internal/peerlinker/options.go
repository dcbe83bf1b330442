package peerlinker

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/go-kit/log"
)

// Options configures a Linker.
type Options struct {
	Self   Peer
	Seeds  []string    // addresses of some peers
	Handle func(Event) // called by several goroutines
	Logger log.Logger
	TLS    *tls.Config                                                 // nil: plain connections
	Dial   func(ctx context.Context, address string) (net.Conn, error) // nil: TCP
	// ForgetAfter is how long an address that does not answer is dialed; 0 means
	// DefaultForgetAfter.
	ForgetAfter time.Duration
	// UnneededLinger is how long a link is kept that neither VM needs; 0 means
	// DefaultUnneededLinger.
	UnneededLinger time.Duration
	Allowed        func(peer Peer) bool // nil: every peer may connect
}

const (
	// outboxCapacity bounds the messages that wait for one peer.
	outboxCapacity = 8192
	// maxBatchBytes is the size from which a frame takes no further message.
	maxBatchBytes = 1 << 20
	// maxLinks bounds the links of a Linker at one time.
	maxLinks = 1024

	// dialTimeout bounds a dial with its handshake.
	dialTimeout = time.Second
	// connectTimeout bounds the TCP part of a dial: several round trips between failure
	// domains, and less than the time after which TCP resends a lost SYN.
	connectTimeout = 300 * time.Millisecond
	// maxHealthyDial is the longest time of a dial to a peer that is up: many round
	// trips between failure domains.
	maxHealthyDial = 150 * time.Millisecond
	// minRedialDelay is the first delay before a lost link is dialed again. It doubles up
	// to maxRedialDelay, which bounds how long a peer stays unlinked after a partition.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 500 * time.Millisecond
	writeTimeout   = 2 * time.Second
	// maxUnacknowledged bounds how late a message can arrive over a link: less than the
	// time after which a home has a task run elsewhere that it has sent over it.
	maxUnacknowledged = time.Second
	// minPingInterval is the shortest time between two pings of a session, and
	// maxPingsPerSecond bounds the pings of all sessions together.
	minPingInterval   = 500 * time.Millisecond
	maxPingsPerSecond = 20
	pingTimeout       = time.Second
	// tableInterval is the time between two rounds of sending the peer table, and
	// maxTablesPerInterval bounds the peers that get it in one round.
	tableInterval        = 2 * time.Second
	maxTablesPerInterval = 16
)

// DefaultForgetAfter is how long an address that does not answer is dialed.
const DefaultForgetAfter = 30 * time.Second

// DefaultUnneededLinger is how long a link is kept that neither VM needs. The two may
// learn at different times which VMs exist.
const DefaultUnneededLinger = 5 * time.Second
