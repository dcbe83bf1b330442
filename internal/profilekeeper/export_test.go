package profilekeeper

// WithChange exports withChange to external tests.
func (b Book) WithChange(c Change) Book { return b.withChange(c) }
