package enroller

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// MaxRosterSize bounds an encoded roster, in bytes.
const MaxRosterSize = 1 << 20

// Bounds of names and addresses, in bytes.
const (
	maxNameLength    = 128
	maxAddressLength = 256
)

// StoreKey returns the key of a failure domain's roster in the store.
func StoreKey(domain identifier.FailureDomain) string {
	return "rosters/" + string(domain)
}

// EncodeRoster returns the roster in the format of the store. It fails above
// MaxRosterSize.
func EncodeRoster(r *Roster) (value []byte, err error) {
	defer func() { err = errors.Wrap(err, "encoding roster") }()
	value, err = json.Marshal(r)
	if err != nil {
		return nil, err
	}
	if len(value) > MaxRosterSize {
		return nil, errors.Newf("size of %d bytes exceeds the bound of %d", len(value), MaxRosterSize)
	}
	return value, nil
}

// DecodeRoster decodes and checks a value of the store.
func DecodeRoster(value []byte) (r *Roster, err error) {
	defer func() { err = errors.Wrap(err, "decoding roster") }()
	if len(value) > MaxRosterSize {
		return nil, errors.Newf("size of %d bytes exceeds the bound of %d", len(value), MaxRosterSize)
	}
	r = &Roster{}
	if err := json.Unmarshal(value, r); err != nil {
		return nil, err
	}
	if err := r.check(); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *Roster) check() error {
	switch {
	case r.Domain == "" || len(r.Domain) > maxNameLength:
		return errors.New("domain: empty or longer than 128 bytes")
	case r.Epoch < 1:
		return errors.New("epoch: below 1")
	case r.Base < 1 || r.Base > r.Epoch:
		return errors.New("base: not between 1 and the epoch")
	case len(r.History) > MaxHistory:
		return errors.Newf("history: more than %d epochs", MaxHistory)
	case uint64(len(r.History)) != uint64(r.Epoch-r.Base):
		return errors.New("history: the number of epochs is not the epoch minus the base")
	}
	for i, past := range r.History {
		if past.Epoch != r.Epoch-1-identifier.Epoch(i) {
			return errors.Newf("history: entry %d is epoch %d", i, past.Epoch)
		}
		if err := checkMembers(past.Members); err != nil {
			return errors.Wrapf(err, "history: epoch %d", past.Epoch)
		}
	}
	return checkMembers(r.Members)
}

func checkMembers(members []RosterMember) error {
	if len(members) > MaxMembers {
		return errors.Newf("members: more than %d", MaxMembers)
	}
	for i, m := range members {
		if m.Member.VM == "" || len(m.Member.VM) > maxNameLength {
			return errors.Newf("members: entry %d: VM name empty or longer than 128 bytes", i)
		}
		if len(m.Address) > maxAddressLength {
			return errors.Newf("members: entry %d: address longer than 256 bytes", i)
		}
		if i > 0 && compareMembers(members[i-1].Member, m.Member) >= 0 {
			return errors.Newf("members: entry %d: duplicate or out of order", i)
		}
	}
	return nil
}

func compareMembers(a, b identifier.Member) int {
	return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
}

func sortedMembers[V any](m map[identifier.Member]V) []identifier.Member {
	keys := make([]identifier.Member, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, compareMembers)
	return keys
}
