package runner

import (
	"time"

	"github.com/peppertrack/peppertrack/internal/dispatcher"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
	"github.com/peppertrack/peppertrack/internal/profilefollower"
	"github.com/peppertrack/peppertrack/internal/profilekeeper"
	"github.com/peppertrack/peppertrack/internal/profileparser"
	"github.com/peppertrack/peppertrack/internal/profilewriter"
)

// followProfiles starts to follow the book of profiles and creates its writer.
func (r *Runner) followProfiles() {
	r.follower = profilefollower.New(profilefollower.Options{
		Self:    r.self,
		Domain:  r.opts.Settings.FailureDomain,
		Seed:    uint64(r.self.Incarnation),
		Store:   r.platform,
		Send:    func(to identifier.Member, m peermessenger.Message) { r.linker.Send(to, m) },
		Adopted: r.adoptBook,
		Confirmed: func(asOf time.Time) {
			r.dispatchQueue.put(dispatcher.ProfilesConfirmed{AsOf: asOf})
		},
	})
	r.writer = profilewriter.New(profilewriter.Options{
		Store:       r.platform,
		CurrentBook: r.follower.Book,
		BookSeen:    r.follower.BookSeen,
		Seed:        uint64(r.self.Incarnation),
	})
}

// knowsProfiles reports whether the profiles were read from the store or received
// from a peer.
func (r *Runner) knowsProfiles() bool {
	status := r.follower.Status()
	return status.Verified || status.Version > 0
}

// ProfileVersion returns the version of the book of profiles in force here.
func (r *Runner) ProfileVersion() identifier.ProfileVersion { return r.follower.Status().Version }

// adoptBook puts the profiles and tokens of a book in force.
func (r *Runner) adoptBook(book profilekeeper.Book) {
	r.auth.Load(book.Tokens)
	byName := make(map[identifier.ProfileName]profileparser.Profile, len(book.Profiles))
	for _, entry := range book.Profiles {
		byName[entry.Profile.Name] = entry.Profile
	}
	r.dispatchQueue.put(dispatcher.ProfilesAdopted{Profiles: byName, Evacuated: book.EvacuatedDomains()})
	_ = r.opts.Logger.Log("level", "info", "msg", "profiles in force", "version", book.Version, "evacuated", book.EvacuatedDomains())
}
