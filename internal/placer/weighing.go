package placer

// Weighing says which of the two costs of a placement counts more.
type Weighing string

// The weighings.
const (
	WeighResponse Weighing = "response" // a short response time
	WeighMessages Weighing = "messages" // few messages between entry VMs
)
