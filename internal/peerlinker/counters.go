package peerlinker

import "sync/atomic"

// Counts is the traffic of a Linker since its start.
type Counts struct {
	MessagesSent     int64 `json:"messagesSent"`
	FramesSent       int64 `json:"framesSent"`
	BytesSent        int64 `json:"bytesSent"`
	MessagesReceived int64 `json:"messagesReceived"`
	FramesReceived   int64 `json:"framesReceived"`
	BytesReceived    int64 `json:"bytesReceived"`
}

// counters holds the Counts of a Linker for concurrent use.
type counters struct {
	messagesSent, framesSent, bytesSent             atomic.Int64
	messagesReceived, framesReceived, bytesReceived atomic.Int64
}

func (c *counters) countSent(messages, bytes int) {
	c.messagesSent.Add(int64(messages))
	c.framesSent.Add(1)
	c.bytesSent.Add(int64(bytes))
}

func (c *counters) countReceived(messages, bytes int) {
	c.messagesReceived.Add(int64(messages))
	c.framesReceived.Add(1)
	c.bytesReceived.Add(int64(bytes))
}

// Counts returns the traffic so far.
func (l *Linker) Counts() Counts {
	c := &l.counters
	return Counts{
		MessagesSent:     c.messagesSent.Load(),
		FramesSent:       c.framesSent.Load(),
		BytesSent:        c.bytesSent.Load(),
		MessagesReceived: c.messagesReceived.Load(),
		FramesReceived:   c.framesReceived.Load(),
		BytesReceived:    c.bytesReceived.Load(),
	}
}
