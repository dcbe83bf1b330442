package placer

// setKind selects the position that a backend server has in a backendSet.
type setKind int

const (
	usableSet  setKind = iota // placeable on the local view
	ownedSet                  // owned by this VM, with a free slot
	heldSet                   // with a slot that this VM was granted and doesn't use
	unownedSet                // without an owner that can be reached
	holdingSet                // of another owner, with slots that this VM holds
	setKinds
)

// notMember is the position of a backend server that is not in the set.
const notMember = -1

// backendSet is an unordered set of backend servers with constant-time
// insertion, removal and random choice.
type backendSet struct {
	kind  setKind
	items []*backendState
}

func (s *backendSet) add(b *backendState) {
	if b.positions[s.kind] != notMember {
		return
	}
	b.positions[s.kind] = len(s.items)
	s.items = append(s.items, b)
}

func (s *backendSet) remove(b *backendState) {
	i := b.positions[s.kind]
	if i == notMember {
		return
	}
	last := len(s.items) - 1
	s.items[i] = s.items[last]
	s.items[i].positions[s.kind] = i
	s.items[last] = nil
	s.items = s.items[:last]
	b.positions[s.kind] = notMember
}

func (s *backendSet) set(b *backendState, member bool) {
	if member {
		s.add(b)
		return
	}
	s.remove(b)
}
