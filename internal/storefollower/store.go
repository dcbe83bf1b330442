// Package storefollower keeps a copy of the items under a prefix of the store of the
// users' platform. The copy survives outages, a lost history and watches that are cut
// off. Package platform implements Store with calls to that store.
package storefollower

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Revision numbers the changes of the store in ascending order.
type Revision uint64

// Item is a key with its value, or the deletion of a key.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision // of its last change
	Deleted  bool     // only in Changes
}

// Page is the result of Range.
type Page struct {
	Items    []Item
	More     bool     // further items follow after the last key
	Revision Revision // at which the items were read
}

// Changes is the result of Watch.
type Changes struct {
	Items    []Item
	Revision Revision // from which the next Watch continues
}

// ErrHistoryLost says that the store no longer has the changes that a watch asked for.
var ErrHistoryLost = errors.New("the store no longer has the changes after this revision")

// Store is the store that a Follower reads.
type Store interface {
	// Range returns the items whose keys begin with prefix and sort after the key
	// after, in ascending order. It may return a part of them, with More set.
	Range(ctx context.Context, prefix, after string) (Page, error)
	// Watch returns the changes after a revision as soon as there is one, or none
	// after the wait. It returns ErrHistoryLost if the store no longer has them all.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error)
}
