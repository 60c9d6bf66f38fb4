package command

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"io"
	"strings"
	"testing"

	"github.com/google/subcommands"

	"dalehook/internal/cluster"
	"dalehook/internal/platform"
)

// startStandin runs the subcommand until the end of the test and returns the
// address that it listens on.
func startStandin(t *testing.T, arguments ...string) (address string) {
	t.Helper()
	reader, writer := io.Pipe()
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan subcommands.ExitStatus, 1)
	go func() {
		flags := flag.NewFlagSet("standin", flag.ContinueOnError)
		_ = flags.Parse(arguments)
		ended <- newStandinCommand(Streams{Output: writer, Error: t.Output()}).Execute(ctx, flags)
		writer.Close()
	}()
	t.Cleanup(func() {
		stop()
		if status := <-ended; status != subcommands.ExitSuccess {
			t.Errorf("%v ended with %d", arguments, status)
		}
	})
	line, err := bufio.NewReader(reader).ReadString('\n')
	address, ok := strings.CutPrefix(strings.TrimSpace(line), "listening ")
	if err != nil || !ok {
		t.Fatalf("%v printed %q, %v", arguments, line, err)
	}
	return address
}

func TestStandinsRegisterWithThePlatform(t *testing.T) {
	url := "http://" + startStandin(t, "platform")
	engine := startStandin(t, "engine", "-platform", url, "-id", "e1", "-pool", "captions", "-zone", "cayma")
	service := startStandin(t, "service", "-platform", url+"/", "-id", "b1", "-pool", "lookup", "-advertise", "10.0.0.9:80")
	if engine == service {
		t.Errorf("both listen on %s", engine)
	}
	client := platform.NewClient(platform.Options{LogURL: url})
	defer client.Close()
	want := map[cluster.BackendID]string{"e1": engine, "b1": "10.0.0.9:80"}
	var machines []cluster.Machine
	for len(machines) < len(want) {
		var err error
		if machines, err = client.Machines(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	for _, machine := range machines {
		if machine.Address != want[machine.ID] || machine.State != cluster.StateLive || machine.Incarnation == 0 {
			t.Errorf("machine %+v", machine)
		}
	}
}

func TestStandinUsageErrors(t *testing.T) {
	for _, arguments := range []string{"", "trainer", "engine -slots many", "service extra", "platform -listen"} {
		var output, errorOutput bytes.Buffer
		flags := flag.NewFlagSet("standin", flag.ContinueOnError)
		_ = flags.Parse(strings.Fields(arguments))
		got := newStandinCommand(Streams{Output: &output, Error: &errorOutput}).Execute(t.Context(), flags)
		if got != subcommands.ExitUsageError || errorOutput.Len() == 0 || output.Len() > 0 {
			t.Errorf("%q ended with %d, printed %q and %q", arguments, got, output.String(), errorOutput.String())
		}
	}
}
