// Package crashcounter counts the backend servers that were lost under each task. It tells
// a task that crashes the servers that start it from the tasks that only shared a server
// with it: a task is run again alone after the first crash, and given up after a second
// one that no other task can have caused.
//
// A Counter is deterministic: it reads no clock. It is not safe for concurrent use.
package crashcounter

import (
	"slices"
	"time"

	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/peermessenger"
)

// Verdict says how a task may be run.
type Verdict uint8

// The verdicts on a task.
const (
	RunShared Verdict = iota // on a server with other tasks
	RunAlone                 // only on a server without other tasks
	GiveUp                   // not again
)

// String returns the verdict as logs show it.
func (v Verdict) String() string {
	names := [...]string{"runShared", "runAlone", "giveUp"}
	if int(v) < len(names) {
		return names[v]
	}
	return "unknown"
}

const (
	// crashesToIsolate is the number of crashes after which a task runs alone.
	crashesToIsolate = 1
	// lossesToIsolate is the same for crashes and silences together. A silence alone is
	// usually a cut, which is no task's fault.
	lossesToIsolate = 2
	// crashesToGiveUp is the number of crashes after which a task is given up if it ran
	// alone in one of them.
	crashesToGiveUp = 2
	// maxCrashes is the number of crashes after which a task is given up in any case.
	maxCrashes = 3
	// maxLosses is the number of crashes and silences after which a task is given up.
	maxLosses = 4

	// maxTasks bounds the tasks remembered at once; the one with the oldest loss is
	// forgotten first.
	maxTasks = 4096
	// retention is how long a task is remembered after its last loss: far longer than
	// callers submit a job again.
	retention = 10 * time.Minute
)

// Counter remembers the runs that were lost with their servers.
type Counter struct {
	tasks map[identifier.TaskRef]*history
	// recent lists the losses in the order in which they were learned. It has an entry for
	// each loss in tasks, and some whose task is forgotten.
	recent []learnedLoss
}

// history holds the losses of one task.
type history struct {
	losses   []peermessenger.LostRun
	lastLoss time.Time
}

type learnedLoss struct {
	loss peermessenger.LostRun
	at   time.Time
}

// New returns a Counter without any losses.
func New() *Counter { return &Counter{tasks: make(map[identifier.TaskRef]*history)} }

// Record records a lost run and reports whether it was new. A run counts once, as crashed
// if any report of it says so.
func (c *Counter) Record(now time.Time, loss peermessenger.LostRun) bool {
	c.forget(now)
	task := loss.Run.Task
	h := c.tasks[task]
	if h == nil {
		h = &history{}
		c.tasks[task] = h
	}
	known := slices.IndexFunc(h.losses, func(l peermessenger.LostRun) bool { return l.Run == loss.Run })
	switch {
	case known < 0 && len(h.losses) >= maxLosses:
		return false // the task is given up already
	case known < 0:
		h.losses = append(h.losses, loss)
	case h.losses[known].Cause == peermessenger.ServerSilent && loss.Cause == peermessenger.ServerCrashed:
		h.losses[known] = loss
	default:
		return false
	}
	h.lastLoss = now
	c.recent = append(c.recent, learnedLoss{loss: loss, at: now})
	return true
}

// forget drops the tasks whose last loss is too long ago, and the oldest ones above
// maxTasks.
func (c *Counter) forget(now time.Time) {
	dropped := 0
	for _, l := range c.recent {
		if len(c.tasks) < maxTasks && now.Sub(l.at) <= retention {
			break
		}
		if h := c.tasks[l.loss.Run.Task]; h != nil && !h.lastLoss.After(l.at) {
			delete(c.tasks, l.loss.Run.Task)
		}
		dropped++
	}
	c.recent = slices.Delete(c.recent, 0, dropped)
}

// Verdict returns how a task may be run.
func (c *Counter) Verdict(task identifier.TaskRef) Verdict {
	h := c.tasks[task]
	if h == nil {
		return RunShared
	}
	crashes, alone := 0, false
	for _, l := range h.losses {
		if l.Cause == peermessenger.ServerCrashed {
			crashes++
			alone = alone || l.Alone
		}
	}
	switch {
	case crashes >= crashesToGiveUp && alone || crashes >= maxCrashes || len(h.losses) >= maxLosses:
		return GiveUp
	case crashes >= crashesToIsolate || len(h.losses) >= lossesToIsolate:
		return RunAlone
	}
	return RunShared
}

// LikelyCause reports whether a task was the last to start on a server that was lost. The
// tasks that had run there for a while are less likely to have caused that.
func (c *Counter) LikelyCause(task identifier.TaskRef) bool {
	return slices.ContainsFunc(c.Losses(task), func(l peermessenger.LostRun) bool { return l.Newest })
}

// Losses returns the runs of a task that were lost, for logs.
func (c *Counter) Losses(task identifier.TaskRef) []peermessenger.LostRun {
	if h := c.tasks[task]; h != nil {
		return h.losses
	}
	return nil
}

// LearnedSince returns the losses that were recorded after a time, the newest limit ones
// at most.
func (c *Counter) LearnedSince(after time.Time, limit int) []peermessenger.LostRun {
	first := len(c.recent)
	for first > 0 && c.recent[first-1].at.After(after) && len(c.recent)-first < limit {
		first--
	}
	var losses []peermessenger.LostRun
	for _, l := range c.recent[first:] {
		losses = append(losses, l.loss)
	}
	return losses
}
