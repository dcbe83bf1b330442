package profilekeeper

import (
	"fmt"
	"testing"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// BenchmarkBook measures the cost of one change as the number of profiles grows:
// applying and encoding it at the writer, decoding the full book at a watcher, and
// applying the change to the book at any other VM.
func BenchmarkBook(b *testing.B) {
	for _, profiles := range []int{10, 30, 100, 300, 1000} {
		book := bookWithProfiles(b, profiles)
		e, _ := book.Profile("p0")
		r := newRequest(-1, ChangeProfile{Profile: newProfile("p0", 7), Base: e.Version})
		next, _, err := book.Apply(r)
		if err != nil {
			b.Fatal(err)
		}
		data := Encode(next)
		changes, _ := next.ChangesSince(book.Version)
		b.Run(fmt.Sprintf("write/profiles=%d", profiles), func(b *testing.B) {
			for b.Loop() {
				changed, _, _ := book.Apply(r)
				Encode(changed)
			}
			b.ReportMetric(float64(len(data)), "book-bytes")
		})
		b.Run(fmt.Sprintf("read/profiles=%d", profiles), func(b *testing.B) {
			for b.Loop() {
				if _, err := Decode(data); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("follow/profiles=%d", profiles), func(b *testing.B) {
			for b.Loop() {
				if _, err := book.withPeerChanges(changes); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(mustEncode(changes))), "difference-bytes")
		})
	}
}

func bookWithProfiles(tb testing.TB, profiles int) Book {
	var operations []Operation
	book := Book{}
	for i := range profiles {
		operations = append(operations, CreateProfile{Profile: newProfile(identifier.ProfileName(fmt.Sprint("p", i)), 1)})
		if len(operations) == MaxOperations || i == profiles-1 {
			book = applyAll(tb, book, newRequest(i, operations...))
			operations = nil
		}
	}
	return book
}
