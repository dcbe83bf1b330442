package placer

// Policy selects how a backend server is chosen: Random, TwoChoices or Reserve.
type Policy interface{ isPolicy() }

// Random places each task on a backend server drawn at random.
type Random struct{}

// TwoChoices draws two backend servers at random and takes the one with more
// free slots in this entry VM's view.
type TwoChoices struct{}

// Reserve starts a task only on a slot that this entry VM owns or was granted by
// the owner. It falls back to TwoChoices among the backend servers whose owner
// is unknown or can't be reached.
type Reserve struct{}

func (Random) isPolicy()     {}
func (Reserve) isPolicy()    {}
func (TwoChoices) isPolicy() {}
