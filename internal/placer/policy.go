package placer

// Policy is how a backend server is chosen: Random, TwoChoices or Reserve.
type Policy interface{ isPolicy() }

// Random places each task on a backend server drawn at random.
type Random struct{}

// TwoChoices draws two backend servers at random and takes the one that is
// less loaded as far as this entry VM knows.
type TwoChoices struct{}

// Reserve starts a task only on a slot that this entry VM owns or was granted
// by the owner. Where no owner can be reached it falls back to TwoChoices.
type Reserve struct{}

func (Random) isPolicy()     {}
func (Reserve) isPolicy()    {}
func (TwoChoices) isPolicy() {}
