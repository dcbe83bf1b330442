package runner

import (
	"github.com/peppertrack/peppertrack/internal/dispatcher"
	"github.com/peppertrack/peppertrack/internal/enroller"
)

// perform carries out one effect of the dispatcher's machine. It never blocks.
func (r *Runner) perform(effect dispatcher.Effect) {
	switch e := effect.(type) {
	case dispatcher.Reply:
		r.requests.answer(e)
	case dispatcher.Send:
		r.linker.Send(e.To, e.Message)
	case dispatcher.StartTask:
		r.backends.start(e)
	case dispatcher.StopTasks:
		r.backends.stop(e)
	case dispatcher.ReadProfiles:
		r.follower.Verify()
	case dispatcher.RecordsCaughtUp:
		r.rosterQueue.offer(enroller.RecordsCaughtUp{Epoch: e.Epoch})
	case dispatcher.LaterEpochSeen:
		r.rosterQueue.offer(enroller.LaterEpochSeen{From: e.From, Epoch: e.Epoch})
	case dispatcher.JobEnded:
		r.recordEndedJob(e)
	case dispatcher.Drained:
		close(r.drained)
	}
}
