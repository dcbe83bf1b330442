package settingsloader

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
)

const goodFile = `vm: perth-a-1
failureDomain: perth-a
failureDomains: [perth-a, perth-b]
`

// TestFieldErrors checks that the error of an invalid setting names its source, its
// line and its field.
func TestFieldErrors(t *testing.T) {
	for name, c := range map[string]struct {
		sources Sources
		want    FieldError
	}{
		"invalid name": {
			Sources{File: []byte("vm: Perth\n" + goodFile[len("vm: perth-a-1\n"):])},
			FieldError{Source: "f", Line: 1, Field: "vm"},
		},
		"own failure domain missing from the list": {
			Sources{File: []byte("vm: a\nfailureDomain: c\nfailureDomains: [a, b]\n")},
			FieldError{Source: "f", Line: 3, Field: "failureDomains"},
		},
		"duration out of bounds": {
			Sources{File: []byte(goodFile + "records:\n  clockBound: 2h\n")},
			FieldError{Source: "f", Line: 5, Field: "records.clockBound"},
		},
		"invalid hash of the bootstrap token": {
			Sources{File: []byte(goodFile + "operators: {bootstrapTokenHash: zz}\n")},
			FieldError{Source: "f", Line: 4, Field: "operators.bootstrapTokenHash"},
		},
		"peer that is not an IP number and port": {
			Sources{File: []byte(goodFile + "peers: [example.org:80]\n")},
			FieldError{Source: "f", Line: 4, Field: "peers"},
		},
		"unspecified address for peers": {
			Sources{File: []byte(goodFile + "listen: {peers: \"0.0.0.0:7103\"}\n")},
			FieldError{Source: "f", Line: 4, Field: "listen.peers"},
		},
		"flag with a value of the wrong type": {
			Sources{File: []byte(goodFile), Flags: []string{"callers.maxTasks=many"}},
			FieldError{Source: "flag", Field: "callers.maxTasks"},
		},
		"flag without a value": {
			Sources{File: []byte(goodFile), Flags: []string{"callers"}},
			FieldError{Source: "flag", Field: "callers"},
		},
		"unknown field in the environment": {
			Sources{File: []byte(goodFile), Environ: []string{"PEPPERTRACK_SET_callers__none=1"}},
			FieldError{Source: "environment", Field: "callers.none"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			c.sources.FileName = "f"
			_, err := Load(c.sources)
			var got *FieldError
			if !errors.As(err, &got) {
				t.Fatalf("got %v", err)
			}
			c.want.Problem = got.Problem
			if diff := cmp.Diff(c.want, *got); diff != "" || got.Problem == "" {
				t.Error(diff, got.Problem)
			}
		})
	}
}

// TestEncodeRoundTrip checks that Load returns the same settings from what Encode
// writes.
func TestEncodeRoundTrip(t *testing.T) {
	settings, err := Load(Sources{FileName: "f", File: []byte(goodFile), Environ: []string{"HOME=x", "PEPPERTRACK_SET_records__retention=3m"}})
	if err != nil {
		t.Fatal(err)
	}
	data, err := Encode(settings)
	if err != nil {
		t.Fatal(err)
	}
	again, err := Load(Sources{FileName: "f", File: data})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(settings, again); diff != "" {
		t.Error(diff)
	}
}

// FuzzLoad checks that no settings file makes Load panic, and that Load accepts what
// Encode writes for the settings that it accepted.
func FuzzLoad(f *testing.F) {
	f.Add([]byte(goodFile))
	f.Add([]byte("vm: {a: &x [*x]}\n"))
	f.Fuzz(func(t *testing.T, file []byte) {
		settings, err := Load(Sources{FileName: "f", File: file})
		if err != nil {
			return
		}
		data, err := Encode(settings)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Load(Sources{FileName: "f", File: data}); err != nil {
			t.Errorf("%v\n%s", err, bytes.TrimSpace(data))
		}
	})
}
