package logexplainer

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// TestStories compares the timelines of the logs in testdata with golden files.
func TestStories(t *testing.T) {
	logs, err := filepath.Glob("testdata/*.log")
	if err != nil || len(logs) == 0 {
		t.Fatalf("%d logs, %v", len(logs), err)
	}
	for _, path := range logs {
		name := filepath.Base(path)
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			var timeline Timeline
			if err := timeline.Read(bytes.NewReader(data), "00000000000000aa"); err != nil {
				t.Fatal(err)
			}
			var out bytes.Buffer
			if err := timeline.Write(&out); err != nil {
				t.Fatal(err)
			}
			goldie.New(t, goldie.WithNameSuffix(".golden")).Assert(t, name, out.Bytes())
		})
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(`12.3 vm {"job":"00000000000000aa","decision":"jobAdmitted","ts":"2026-01-01T00:00:00Z"}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var timeline Timeline
		_ = timeline.Read(bytes.NewReader(data), "00000000000000aa") // must not panic
		_ = timeline.Write(&bytes.Buffer{})
	})
}
