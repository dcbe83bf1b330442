package placer

// Goal says which of the two costs of a placement is kept low.
type Goal string

// The goals of a placement.
const (
	MinimizeLatency  Goal = "response" // the response time, at the cost of more messages
	MinimizeMessages Goal = "messages" // the messages between entry VMs, at the cost of longer waits
)
