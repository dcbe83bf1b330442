package cmd

import (
	"fmt"
	"io"
	"os"

	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"
)

// jobProgress shows how many tasks of a job have ended: as a bar on a terminal,
// else as a line for each change.
type jobProgress struct {
	w     io.Writer
	bar   *progressbar.ProgressBar // nil when w is no terminal
	tasks int
	ended int
}

func newJobProgress(w io.Writer, tasks int) *jobProgress {
	p := &jobProgress{w: w, tasks: tasks}
	if f, ok := w.(*os.File); ok && term.IsTerminal(int(f.Fd())) {
		p.bar = progressbar.NewOptions(tasks,
			progressbar.OptionSetWriter(w),
			progressbar.OptionSetDescription("tasks"),
			progressbar.OptionShowCount(),
			progressbar.OptionClearOnFinish(),
		)
	}
	return p
}

// update prints the number of ended tasks if it has changed.
func (p *jobProgress) update(ended int) {
	if ended == p.ended {
		return
	}
	p.ended = ended
	if p.bar == nil {
		fmt.Fprintf(p.w, "ended %d of %d tasks\n", ended, p.tasks)
		return
	}
	_ = p.bar.Set(ended) // a failed write to the terminal must not fail the command
}

// finish clears the bar.
func (p *jobProgress) finish() {
	if p.bar != nil {
		_ = p.bar.Clear()
	}
}
