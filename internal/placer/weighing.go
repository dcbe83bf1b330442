package placer

// Weighing says which of the two costs of a placement is to be kept low.
type Weighing string

// The values of Weighing.
const (
	WeighResponse Weighing = "response" // the response time, at the cost of more messages
	WeighMessages Weighing = "messages" // the messages between entry VMs, at the cost of longer waits
)
