package cmd

import (
	"bytes"
	"testing"
)

func FuzzParseJob(f *testing.F) {
	f.Add([]byte("profile: orderDesk\ntasks:\n  - payload: {a: [1, two]}\n    runTimeMillis: 5\n"))
	f.Add([]byte(`{"submissionId":"a.1","profile":"p","tasks":[{"payload":null}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := parseJob(bytes.NewReader(data))
		if err == nil && (s.Profile == "" || len(s.Tasks) == 0) {
			t.Errorf("accepted a job without profile or tasks: %+v", s)
		}
	})
}
