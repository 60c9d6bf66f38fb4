package standin_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/platform"
	"dalehook/internal/standin"
)

// withPlatform runs a test against a platform in a synctest bubble.
func withPlatform(t *testing.T, options standin.PlatformOptions, run func(t *testing.T, p *pipeNetwork, client *platform.Client)) {
	synctest.Test(t, func(t *testing.T) {
		p := &pipeNetwork{}
		server := standin.NewPlatform(options)
		t.Cleanup(server.Close)
		p.serve(t, platformAddress, server.Handler())
		run(t, p, p.platformClient(t, platformAddress))
	})
}

func payloads(entries []platform.Entry) []string {
	var texts []string
	for _, entry := range entries {
		texts = append(texts, string(entry.Payload))
	}
	return texts
}

func TestLogKeepsOrder(t *testing.T) {
	withPlatform(t, standin.PlatformOptions{}, func(t *testing.T, p *pipeNetwork, client *platform.Client) {
		for want, payload := range []string{`{"a":1}`, `2`, `"three"`} {
			offset, outcome, err := client.Append(t.Context(), "control", []byte(payload))
			if offset != uint64(want+1) || outcome != machine.AppendDone || err != nil {
				t.Errorf("append: offset %d, outcome %d, %v", offset, outcome, err)
			}
		}
		entries, end, err := client.Read(t.Context(), "control", 2, 0)
		if err != nil || end != 3 {
			t.Errorf("end %d, %v", end, err)
		}
		if diff := cmp.Diff([]string{`2`, `"three"`}, payloads(entries)); diff != "" {
			t.Error(diff)
		}
		if entries, end, err := client.Read(t.Context(), "step.x", 1, 0); len(entries) != 0 || end != 0 || err != nil {
			t.Errorf("unused log has %d entries, end %d, %v", len(entries), end, err)
		}
	})
}

func TestLongPollReturnsOnAppend(t *testing.T) {
	withPlatform(t, standin.PlatformOptions{}, func(t *testing.T, p *pipeNetwork, client *platform.Client) {
		started := time.Now()
		if entries, _, err := client.Read(t.Context(), "l", 1, 20*time.Second); len(entries) != 0 || err != nil {
			t.Errorf("%d entries, %v", len(entries), err)
		}
		if waited := time.Since(started); waited != 20*time.Second {
			t.Errorf("read of an empty log waited %v", waited)
		}
		read := make(chan []platform.Entry)
		go func() {
			entries, _, _ := client.Read(t.Context(), "l", 1, time.Hour)
			read <- entries
		}()
		synctest.Wait()
		if _, _, err := client.Append(t.Context(), "l", []byte(`1`)); err != nil {
			t.Error(err)
		}
		if got := payloads(<-read); !cmp.Equal(got, []string{"1"}) {
			t.Errorf("read %v", got)
		}
	})
}

func TestAppendOutcomes(t *testing.T) {
	tests := []struct {
		name    string
		fault   standin.FaultName
		value   string
		address string
		payload string
		want    machine.AppendOutcome
		stored  bool
	}{
		{name: "done", payload: `1`, want: machine.AppendDone, stored: true},
		{name: "malformed payload", payload: `{`, want: machine.AppendNotDone},
		{name: "no connection", address: "nobody:80", payload: `1`, want: machine.AppendNotDone},
		{name: "response lost", fault: standin.FaultAppendAnswerLost, value: "1", payload: `1`, want: machine.AppendUnknown, stored: true},
		{name: "store down", fault: standin.FaultStoreDown, value: "1", payload: `1`, want: machine.AppendUnknown},
		// The append takes effect after the client's timeout.
		{name: "too slow", fault: standin.FaultStoreSlow, value: "6000", payload: `1`, want: machine.AppendUnknown, stored: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withPlatform(t, standin.PlatformOptions{}, func(t *testing.T, p *pipeNetwork, client *platform.Client) {
				if test.fault != "" {
					postJSON(t, p, platformAddress, "/faults", newFault(test.fault, test.value))
				}
				appender := client
				if test.address != "" {
					appender = p.platformClient(t, test.address)
				}
				_, outcome, err := appender.Append(t.Context(), "l", []byte(test.payload))
				if outcome != test.want || (err == nil) != (test.want == machine.AppendDone) {
					t.Errorf("outcome %d, %v", outcome, err)
				}
				time.Sleep(time.Minute)
				postJSON(t, p, platformAddress, "/faults", newFault(standin.FaultStoreSlow, "0"))
				entries, _, err := client.Read(t.Context(), "l", 1, 0)
				if err != nil || (len(entries) == 1) != test.stored {
					t.Errorf("%d entries, %v", len(entries), err)
				}
			})
		})
	}
}

func TestStoreDownAbortsLongPoll(t *testing.T) {
	withPlatform(t, standin.PlatformOptions{}, func(t *testing.T, p *pipeNetwork, client *platform.Client) {
		failed := make(chan error)
		go func() {
			_, _, err := client.Read(t.Context(), "l", 1, time.Hour)
			failed <- err
		}()
		synctest.Wait()
		postJSON(t, p, platformAddress, "/faults", newFault(standin.FaultStoreDown, "30"))
		if err := <-failed; err == nil {
			t.Error("read succeeded while the store was down")
		}
	})
}

func TestMachineListLags(t *testing.T) {
	withPlatform(t, standin.PlatformOptions{ListLag: 5 * time.Second}, func(t *testing.T, p *pipeNetwork, client *platform.Client) {
		want := cluster.Machine{
			ID:          "e1",
			Kind:        cluster.KindEngine,
			Pool:        "captions",
			Zone:        "cercado",
			Address:     "10.0.0.1:80",
			State:       cluster.StateLive,
			Incarnation: 3,
		}
		if err := client.RegisterMachine(t.Context(), want); err != nil {
			t.Fatal(err)
		}
		time.Sleep(4 * time.Second)
		if early, err := client.Machines(t.Context()); err != nil || len(early) != 0 {
			t.Errorf("early: %v, %v", early, err)
		}
		time.Sleep(time.Second)
		late, err := client.Machines(t.Context())
		if err != nil {
			t.Error(err)
		}
		if diff := cmp.Diff([]cluster.Machine{want}, late); diff != "" {
			t.Error(diff)
		}
	})
}
