package loader

import (
	"bytes"
	"encoding/json"
	"testing"
)

func FuzzParseWorkload(f *testing.F) {
	f.Add([]byte("load: 0.5\nrunTimes: {kind: pareto, min: 1ms, max: 2s, shape: 1.2}\n"))
	f.Add([]byte("teams: [{name: a, weight: 2}]\nbursts: [{at: 1s, for: 1s, factor: 2}]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		w, err := ParseWorkload(bytes.NewReader(data))
		if err != nil {
			return
		}
		if err := w.Validate(); err != nil {
			t.Errorf("an accepted workload is invalid: %v", err)
		}
	})
}

func FuzzFlattenCounters(f *testing.F) {
	f.Add([]byte(`{"backends":{"start":{"needed":3}},"process":{"cpuSeconds":1.5}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var tree map[string]any
		if json.Unmarshal(data, &tree) != nil {
			return
		}
		c := make(counters)
		c.flatten("", tree)
		(&meter{}).addDaemon(&Report{}, nil, c)
	})
}
