package operatorserver

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/peppertrack/peppertrack/internal/profilekeeper"
)

const handoverFormat = 1

// Handover is the package that a new operator takes over: the whole book of
// profiles with its history, and the version that was in force on each VM.
type Handover struct {
	Format     int                `json:"format"`
	ExportedAt time.Time          `json:"exportedAt"`
	ExportedBy string             `json:"exportedBy"`
	Book       profilekeeper.Book `json:"book"`
	Statuses   []VMStatus         `json:"inForce"`
	SHA256     string             `json:"sha256"` // of the JSON without this field
}

func newHandover(at time.Time, operator string, b profilekeeper.Book, statuses []VMStatus) Handover {
	h := Handover{Format: handoverFormat, ExportedAt: at, ExportedBy: operator, Book: b, Statuses: notNil(statuses)}
	h.SHA256 = h.checksum()
	return h
}

// checksum returns the SHA-256 of the JSON without the checksum, or "" if the
// package can't be encoded.
func (h Handover) checksum() string {
	h.SHA256 = ""
	data, err := json.Marshal(h)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Verify returns what is wrong with a package: a changed byte, a book that its
// history doesn't lead to, and each VM on which another book was in force or that
// could not be reached. An empty result means that the package is whole and its
// book was in force on every VM.
func (h Handover) Verify() []string {
	var problems []string
	if h.Format != handoverFormat {
		return []string{fmt.Sprintf("format %d is not %d", h.Format, handoverFormat)}
	}
	if h.SHA256 != h.checksum() {
		problems = append(problems, "the checksum doesn't match: the package was changed")
	}
	if err := h.Book.Verify(); err != nil {
		problems = append(problems, err.Error())
	}
	if len(h.Statuses) == 0 {
		problems = append(problems, "no VM says what was in force")
	}
	for _, vm := range h.Statuses {
		switch {
		case !vm.Reachable:
			problems = append(problems, fmt.Sprintf("VM %s could not be asked", vm.VM))
		case vm.Profiles.Version != h.Book.Version || vm.Profiles.Chain != h.Book.Chain:
			problems = append(problems, fmt.Sprintf("VM %s had version %d with chain %v in force, not %d with %v",
				vm.VM, vm.Profiles.Version, vm.Profiles.Chain, h.Book.Version, h.Book.Chain))
		}
	}
	return problems
}
