package settings

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"
)

func TestLoadMergesFileEnvironmentAndFlags(t *testing.T) {
	got, err := Load(Options{
		Path:    "testdata/good.yaml",
		Environ: []string{"DALEHOOK_NODE_ID=from-environment", "DALEHOOK_LIMITS_MAX_WAIT=20s", "HOME=/root"},
		Flags: map[string]string{
			"node.id":   "cayma-1",
			"node.zone": "cayma",
			"peers":     "127.0.0.1:7301, 127.0.0.1:7302",
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	want := Default()
	want.Node = Identity{ID: "cayma-1", Zone: "cayma"}
	want.Zones = append(want.Zones, "cercado", "yanahuara", "cayma")
	want.Listen = Addresses{Client: "127.0.0.1:7101", Peer: "127.0.0.1:7201"}
	want.Peers = []string{"127.0.0.1:7301", "127.0.0.1:7302"}
	want.Platform = Platform{Log: "http://127.0.0.1:7001", Weights: "http://127.0.0.1:7001", Machines: "http://127.0.0.1:7001"}
	want.Limits.MaxBodySize = 4 << 20
	want.Limits.Deadline = 10 * time.Second
	want.Limits.MaxWait = 20 * time.Second
	want.Capacity.EngineTokensPerSecond = 800.5
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("settings differ (-want +got):\n%s", diff)
	}
}

func TestLoadReportsAllErrorsOfAFile(t *testing.T) {
	_, err := Load(Options{Path: "testdata/faulty.yaml"})
	if err == nil {
		t.Fatal("Load accepted invalid settings")
	}
	goldie.New(t).Assert(t, "faulty", []byte(err.Error()+"\n"))
}

func TestLoadNamesTheSourceOfAnError(t *testing.T) {
	tests := []struct {
		name    string
		options Options
		want    string
	}{
		{
			name:    "flag without a unit",
			options: Options{Flags: map[string]string{"limits.body": "8"}},
			want:    `-limits.body: limits.body: wrong unit: "8" is a bare number; write a size with its unit, such as "8MiB"`,
		},
		{
			name:    "unknown flag",
			options: Options{Flags: map[string]string{"limits.bodies": "8MiB"}},
			want:    `-limits.bodies: limits.bodies: unknown key`,
		},
		{
			name:    "unknown variable",
			options: Options{Environ: []string{"DALEHOOK_NODE_NAME=x"}},
			want:    `DALEHOOK_NODE_NAME: unknown environment variable`,
		},
		{
			name:    "zone by variable",
			options: Options{Environ: []string{"DALEHOOK_NODE_ZONE=tiabaya"}},
			want:    `DALEHOOK_NODE_ZONE: node.zone: zone "tiabaya" is not among zones (cercado, yanahuara, cayma)`,
		},
		{
			name:    "port of the platform",
			options: Options{Flags: map[string]string{"listen.peer": "127.0.0.1:7001"}},
			want:    `-listen.peer: listen.peer: port 7001 is used already by platform.log`,
		},
		{
			name:    "listener on all addresses",
			options: Options{Flags: map[string]string{"listen.peer": "0.0.0.0:7101"}},
			want: `-listen.peer: advertise.peer: is required when listen.peer names no single IP
-listen.peer: listen.peer: port 7101 is used already by listen.client`,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.options.Path = "testdata/good.yaml"
			_, err := Load(test.options)
			if err == nil {
				t.Fatal("Load accepted invalid settings")
			}
			if diff := cmp.Diff(test.want, err.Error()); diff != "" {
				t.Errorf("errors differ (-want +got):\n%s", diff)
			}
		})
	}
}

func TestLoadReportsBrokenYAMLWithItsLine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.yaml")
	if err := os.WriteFile(path, []byte("node:\n  id: [a\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := Load(Options{Path: path})
	if _, ok := err.(FieldErrors); !ok {
		t.Fatalf("got %v, want FieldErrors", err)
	}
}
