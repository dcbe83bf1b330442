package identifier

import "fmt"

// Member names one process of the system: an entry VM and its incarnation.
type Member struct {
	VM          VMID        `cbor:"1,keyasint" json:"vm"`
	Incarnation Incarnation `cbor:"2,keyasint" json:"incarnation"`
}

// String returns the member as vm#incarnation.
func (m Member) String() string {
	return fmt.Sprintf("%s#%d", m.VM, m.Incarnation)
}
