package placer

// Policy is how a backend server is chosen: Random, TwoChoices or Reserve.
type Policy interface{ isPolicy() }

// Random places each task on a backend server drawn at random.
type Random struct{}

// TwoChoices draws two backend servers at random and takes the one that is
// less loaded as far as this entry VM knows.
type TwoChoices struct{}

func (Random) isPolicy()     {}
func (TwoChoices) isPolicy() {}
