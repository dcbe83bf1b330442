package experimenter

import (
	"bytes"
	"testing"
)

func FuzzParse(f *testing.F) {
	f.Add([]byte(smallScenario))
	f.Add([]byte("name: a\nfaults: [{at: 1s, for: 1s, cutBetween: [a, b]}]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(bytes.NewReader(data))
		if err != nil {
			return
		}
		for _, injection := range s.injections() {
			if injection.fault == nil {
				t.Error("an accepted scenario has an injection without a fault")
			}
		}
	})
}
