package packer

import (
	"os"
	"testing"

	"go.yaml.in/yaml/v3"

	"github.com/peppertrack/peppertrack/internal/identifier"
)

// TestPick checks the choices listed in testdata/picks.yaml.
func TestPick(t *testing.T) {
	data, err := os.ReadFile("testdata/picks.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		Name    string `yaml:"name"`
		Servers []struct {
			ID                 identifier.BackendID  `yaml:"id"`
			Free               identifier.Millicores `yaml:"free"`
			Mem                identifier.Mebibytes  `yaml:"mem"`
			OtherFailureDomain bool                  `yaml:"remote"`
			OwnedByPeer        bool                  `yaml:"peer"`
			Slowness           float64               `yaml:"slowness"`
		} `yaml:"servers"`
		Avoid  []identifier.BackendID `yaml:"avoid"`
		Cores  identifier.Millicores  `yaml:"cores"`
		Memory identifier.Mebibytes   `yaml:"memory"`
		Want   identifier.BackendID   `yaml:"want"`
	}
	if err := yaml.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		var servers []Server
		for _, s := range c.Servers {
			servers = append(servers, Server{ID: s.ID, Capacity: 32000, Free: s.Free, FreeMem: s.Mem, OtherFailureDomain: s.OtherFailureDomain, OwnedByPeer: s.OwnedByPeer, Slowness: max(s.Slowness, 1)})
		}
		var got identifier.BackendID
		if i := Pick(servers, Demand{Cores: c.Cores, Memory: c.Memory}, c.Avoid); i >= 0 {
			got = servers[i].ID
		}
		if got != c.Want {
			t.Errorf("%s: got server %q, want %q", c.Name, got, c.Want)
		}
	}
}
