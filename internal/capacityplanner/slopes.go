package capacityplanner

import "fmt"

// slopeSpec names a slope that the page shows.
type slopeSpec struct {
	name      string
	benchmark string
	prefix    string
	unit      string
	shown     string
}

// slopeSpecs are the measured slopes, in the order of the page.
var slopeSpecs = []slopeSpec{
	{"memory of a backend server in the view of an entry VM", "Backend", "size", "bytes/item", "bytes"},
	{"memory of a queued task, in the whole machine", "Queued", "size", "bytes/item", "bytes"},
	{"memory of a running task, in the limiter", "RunningTask", "size", "bytes/item", "bytes"},
	{"memory of a team with a quota", "Team", "size", "bytes/item", "bytes"},
	{"memory of a peer, in the placer", "Peer", "size", "bytes/item", "bytes"},
	{"memory of a link, both ends", "IdleLinks", "size", "bytes/item", "bytes"},
	{"processor time of an idle link, both ends", "IdleLinks", "size", "cpu-us/s/item", "us a second"},
	{"records resent when one of seven members is lost", "Takeover", "records", "resent/record", "of each record"},
}

// slopeTable returns the table of measured slopes.
func slopeTable(f Figures) (text string, err error) {
	text = "| slope | value | benchmark | sizes |\n| --- | ---: | --- | ---: |\n"
	for _, s := range slopeSpecs {
		slope, sizes, err := f.Slope(s.benchmark, s.prefix, s.unit)
		if err != nil {
			return "", err
		}
		text += fmt.Sprintf("| %s | %s %s | Benchmark%s | %d |\n", s.name, number(slope), s.shown, s.benchmark, sizes)
	}
	return text, nil
}
