// Package storefollower keeps a copy of the items under a prefix of the
// platform's store, through outages, lost history and watches that are cut.
package storefollower

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Revision numbers the changes of the store. It only grows.
type Revision uint64

// Item is a key with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision // of its last change
	Deleted  bool     // in answers of Watch
}

// Page is an answer of Range.
type Page struct {
	Items []Item
	More  bool // further items follow after the last one's key
	At    Revision
}

// Changes is an answer of Watch.
type Changes struct {
	Items []Item
	At    Revision // continue after this one
}

// ErrForgotten says that the store has forgotten the history that a watch asked
// for.
var ErrForgotten = errors.New("the store has forgotten this history")

// Store is what a Follower reads.
type Store interface {
	// Range returns the items whose keys begin with the prefix and sort after a
	// key.
	Range(ctx context.Context, prefix, after string) (Page, error)
	// Watch returns the changes after a revision as soon as there is one, or
	// none after the wait. It returns ErrForgotten when it can't know them.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error)
}
