package profilekeeper

import (
	"fmt"
	"testing"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// BenchmarkBook measures what one change costs by the number of profiles: at the
// writer, which applies and encodes, at a watcher, which decodes the whole book,
// and at a VM that follows the difference.
func BenchmarkBook(b *testing.B) {
	for _, profiles := range []int{10, 30, 100, 300, 1000} {
		book := bookOf(b, profiles)
		e, _ := book.Profile("p0")
		r := request(-1, ChangeProfile{Profile: named("p0", 7), Base: e.Version})
		next, _, err := book.Apply(r)
		if err != nil {
			b.Fatal(err)
		}
		data := Encode(next)
		changes, _ := next.Since(book.Version)
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
				if _, err := book.follow(changes); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(mustEncode(changes))), "difference-bytes")
		})
	}
}

func bookOf(tb testing.TB, profiles int) Book {
	var operations []Operation
	book := Book{}
	for i := range profiles {
		operations = append(operations, CreateProfile{Profile: named(identifier.ProfileName(fmt.Sprint("p", i)), 1)})
		if len(operations) == MaxOperations || i == profiles-1 {
			book = applyAll(tb, book, request(i, operations...))
			operations = nil
		}
	}
	return book
}
