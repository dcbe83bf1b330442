package capacityplanner

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// section is a derived part of the page.
type section struct {
	name string
	text string
}

// UpdatePage returns the page with its derived sections regenerated. A section stands
// between the lines <!-- derived: name --> and <!-- end -->.
func UpdatePage(page string, size Size, f Figures) (updated string, err error) {
	defer func() { err = errors.Wrap(err, "deriving the page") }()
	in, err := readInputs(f)
	if err != nil {
		return "", err
	}
	slopes, err := slopeTable(f)
	if err != nil {
		return "", err
	}
	p := newPlan(size, in)
	updated = page
	for _, s := range []section{
		{"slopes", slopes},
		{"data", markdownTable(p.dataRows())},
		{"control", markdownTable(p.controlRows())},
		{"storms", markdownTable(p.stormRows())},
	} {
		if updated, err = replaceSection(updated, s); err != nil {
			return "", err
		}
	}
	return updated, nil
}

const sectionEnd = "<!-- end -->"

func replaceSection(page string, s section) (string, error) {
	begin := "<!-- derived: " + s.name + " -->\n"
	before, rest, found := strings.Cut(page, begin)
	if !found {
		return "", errors.Newf("the page has no section %q", s.name)
	}
	_, after, found := strings.Cut(rest, sectionEnd)
	if !found {
		return "", errors.Newf("section %q of the page has no end marker", s.name)
	}
	return before + begin + s.text + sectionEnd + after, nil
}
