package systemrunner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/peppertrack/peppertrack/internal/profilekeeper"
	"github.com/peppertrack/peppertrack/internal/profilewriter"
)

// createProfiles writes the initial book of profiles to the platform's store.
func (s *System) createProfiles() (err error) {
	defer func() { err = errors.Wrap(err, "creating the profiles") }()
	if len(s.opts.Profiles) == 0 {
		return nil
	}
	request := profilekeeper.Request{
		ID:     "first-profiles",
		Author: "systemrunner",
		Reason: "profiles of the system on loopback",
		At:     time.Now(),
	}
	for _, profile := range s.opts.Profiles {
		request.Operations = append(request.Operations, profilekeeper.CreateProfile{Profile: profile})
	}
	writer := profilewriter.New(profilewriter.Options{
		Store:       s.platform.Memory().CallerView("", ""),
		CurrentBook: func() profilekeeper.Book { return profilekeeper.Book{} },
		BookSeen:    func(profilekeeper.Book) {},
	})
	accepted, err := writer.Write(context.Background(), request)
	s.profileVersion = accepted.Last
	return err
}
