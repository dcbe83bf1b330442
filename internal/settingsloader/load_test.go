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

// TestFieldErrors holds that each bad setting is named with its place.
func TestFieldErrors(t *testing.T) {
	for name, c := range map[string]struct {
		sources Sources
		want    FieldError
	}{
		"a name": {
			Sources{File: []byte("vm: Perth\n" + goodFile[len("vm: perth-a-1\n"):])},
			FieldError{Source: "f", Line: 1, Field: "vm"},
		},
		"own failure domain": {
			Sources{File: []byte("vm: a\nfailureDomain: c\nfailureDomains: [a, b]\n")},
			FieldError{Source: "f", Line: 3, Field: "failureDomains"},
		},
		"a duration": {
			Sources{File: []byte(goodFile + "records:\n  clockBound: 2h\n")},
			FieldError{Source: "f", Line: 5, Field: "records.clockBound"},
		},
		"a token's hash": {
			Sources{File: []byte(goodFile + "operators: {bootstrapTokenHash: zz}\n")},
			FieldError{Source: "f", Line: 4, Field: "operators.bootstrapTokenHash"},
		},
		"a peer": {
			Sources{File: []byte(goodFile + "peers: [example.org:80]\n")},
			FieldError{Source: "f", Line: 4, Field: "peers"},
		},
		"an address that peers can't use": {
			Sources{File: []byte(goodFile + "listen: {peers: \"0.0.0.0:7103\"}\n")},
			FieldError{Source: "f", Line: 4, Field: "listen.peers"},
		},
		"a flag": {
			Sources{File: []byte(goodFile), Flags: []string{"callers.maxTasks=many"}},
			FieldError{Source: "flag", Field: "callers.maxTasks"},
		},
		"a flag without a value": {
			Sources{File: []byte(goodFile), Flags: []string{"callers"}},
			FieldError{Source: "flag", Field: "callers"},
		},
		"the environment": {
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

// TestEncodeIsRead holds that settings as they are shown lead to themselves.
func TestEncodeIsRead(t *testing.T) {
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

// FuzzLoad holds that no file of settings makes the loader panic, and that what
// it accepts is read again as it is shown.
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
