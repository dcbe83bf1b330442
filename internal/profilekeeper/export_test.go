package profilekeeper

// Advance gives the tests of the package's users the step from book to book.
func (b Book) Advance(c Change) Book { return b.advance(c) }
