package placer

// setKind selects the position that a backend server has in a backendSet.
type setKind int

const (
	usableSet        setKind = iota // with a free slot as far as this VM's own tasks show
	ownedWithFreeSet                // owned by this VM, with a free slot
	idleGrantedSet                  // owned by a peer, with a slot granted to this VM that runs no task
	ownerlessSet                    // usable, without an owner or with an owner that can't be reached
	borrowedSet                     // owned by a peer, with slots that this VM holds or uses
	setKindCount
)

// notMember is the position of a backend server that is not in a backendSet.
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

func (s *backendSet) setMember(b *backendState, member bool) {
	if member {
		s.add(b)
		return
	}
	s.remove(b)
}
