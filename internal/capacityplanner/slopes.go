package capacityplanner

import "fmt"

// slopeSpec describes a slope that the page shows.
type slopeSpec struct {
	name      string
	benchmark string
	prefix    string
	unit      string
	shownUnit string // in the page
	total     bool   // the figure is a total, not an average per item
}

// slopeSpecs are the measured slopes, in the order of the page.
var slopeSpecs = []slopeSpec{
	{"memory of a backend server in the view of an entry VM", "Backend", "size", "bytes/item", "bytes", false},
	{"memory of a queued task, in the whole machine", "Queued", "size", "bytes/item", "bytes", false},
	{"memory of a running task, in the limiter", "RunningTask", "size", "bytes/item", "bytes", false},
	{"memory of a kept record", "Record", "size", "heapBytes/record", "bytes", false},
	{"memory of a team with a quota", "Team", "size", "bytes/item", "bytes", false},
	{"memory of a peer, in the placer", "Peer", "size", "bytes/item", "bytes", false},
	{"memory of a link, both ends", "IdleLinks", "size", "bytes/item", "bytes", false},
	{"processor time of an idle link, both ends", "IdleLinks", "size", "cpu-us/s/item", "us a second", false},
	{"size of the book of profiles, for a profile", "Book/write", "profiles", "book-bytes", "bytes", true},
	{"messages of a change, for an entry VM", "Spread", "vms", "messages/change", "messages", true},
	{"records resent when one of seven members is lost", "Takeover", "records", "resent/record", "of each record", false},
}

// slopeTable returns the table of measured slopes.
func slopeTable(f Figures) (text string, err error) {
	text = "| slope | value | benchmark | sizes |\n| --- | ---: | --- | ---: |\n"
	for _, s := range slopeSpecs {
		slope, sizes, err := f.slope(s)
		if err != nil {
			return "", err
		}
		text += fmt.Sprintf("| %s | %s %s | Benchmark%s | %d |\n", s.name, formatNumber(slope), s.shownUnit, s.benchmark, sizes)
	}
	return text, nil
}
