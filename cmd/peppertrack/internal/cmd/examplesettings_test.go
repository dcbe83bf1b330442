package cmd

import (
	"bytes"
	"os"
	"slices"
	"testing"

	"go.yaml.in/yaml/v3"

	"github.com/peppertrack/peppertrack/internal/settingsloader"
)

const exampleSettings = "../../../../examples/peppertrackd.yaml"

// TestExampleSettings checks that "config check" accepts the example, and that the
// example has every setting, with the default value that its comments state.
func TestExampleSettings(t *testing.T) {
	var stdout, stderr bytes.Buffer
	if code := Main([]string{"config", "check", exampleSettings}, nil, &stdout, &stderr); code != 0 {
		t.Fatalf("config check ended with %d: %s", code, stderr.String())
	}
	file, err := os.ReadFile(exampleSettings)
	if err != nil {
		t.Fatal(err)
	}
	settings, err := settingsloader.Load(settingsloader.Sources{FileName: exampleSettings, File: file})
	if err != nil {
		t.Fatal(err)
	}
	all, err := settingsloader.Encode(settings)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := keysOf(t, file), keysOf(t, all); !slices.Equal(got, want) {
		t.Errorf("the example has the keys %v, want %v", got, want)
	}
	want := settingsloader.Default()
	want.VM, want.FailureDomain, want.FailureDomains, want.Peers = settings.VM, settings.FailureDomain, settings.FailureDomains, settings.Peers
	wanted, err := settingsloader.Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(all, wanted) {
		t.Errorf("the example leads to\n%s\nwant the defaults\n%s", all, wanted)
	}
}

// keysOf returns the paths of all keys in a YAML mapping, in order.
func keysOf(t *testing.T, data []byte) []string {
	t.Helper()
	var document yaml.Node
	if err := yaml.Unmarshal(data, &document); err != nil {
		t.Fatal(err)
	}
	keys := appendKeys(nil, "", document.Content[0])
	slices.Sort(keys)
	return keys
}

func appendKeys(keys []string, prefix string, mapping *yaml.Node) []string {
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		key, value := prefix+mapping.Content[i].Value, mapping.Content[i+1]
		keys = append(keys, key)
		if value.Kind == yaml.MappingNode {
			keys = appendKeys(keys, key+".", value)
		}
	}
	return keys
}
