package router

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func testTable() *Table {
	return &Table{Version: 4, MaxBody: 100, Routes: []Route{
		{Name: "short", Host: "one.example", Prefix: "/a/", Pool: "p", Slack: 1.6},
		{Name: "long", Host: "one.example", Prefix: "/a/b/", Pool: "p"},
		{Name: "other", Host: "two.example", Prefix: "/", Pool: "q"},
	}}
}

// TestMatch checks that the host and the longest prefix select the route.
func TestMatch(t *testing.T) {
	for _, c := range []struct{ host, path, name, rest string }{
		{"one.example", "/a/x", "short", "x"},
		{"ONE.example:80", "/a/x", "short", "x"},
		{"one.example", "/a/b/x", "long", "x"},
		{"one.example", "/a/b", "short", "b"},
		{"two.example", "/a/b/x", "other", "a/b/x"},
		{"one.example", "/c/x", "", "/c/x"},
		{"three.example", "/a/x", "", "/a/x"},
	} {
		route, rest, ok := testTable().Match(c.host, c.path)
		if route.Name != c.name || rest != c.rest || ok != (c.name != "") {
			t.Errorf("%s%s: got route %q, rest %q, %v", c.host, c.path, route.Name, rest, ok)
		}
	}
}

// TestEncode checks that a table is unchanged after Encode and Decode.
func TestEncode(t *testing.T) {
	data, err := testTable().Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(testTable(), got); diff != "" {
		t.Error(diff)
	}
}

func FuzzDecode(f *testing.F) {
	data, err := testTable().Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Decode(data) // must not panic
	})
}
