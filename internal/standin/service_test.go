package standin_test

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"dalehook/internal/backend"
	"dalehook/internal/cluster"
	"dalehook/internal/machine"
	"dalehook/internal/standin"
)

const serviceAddress = "service:80"

func newSave(key string) backend.ServiceRequest {
	return backend.ServiceRequest{
		Address: serviceAddress,
		Method:  http.MethodPost,
		Path:    "/answers//7/?page=2",
		Headers: http.Header{"Idempotency-Key": {key}},
		Body:    []byte("answer"),
	}
}

// withService runs a test against a service server in a synctest bubble.
func withService(t *testing.T, options standin.ServiceOptions, run func(t *testing.T, p *pipeNetwork)) {
	synctest.Test(t, func(t *testing.T) {
		p := &pipeNetwork{}
		options.Machine.ID = "portal-1"
		service := standin.NewService(options)
		t.Cleanup(service.Close)
		p.serve(t, serviceAddress, service.Handler())
		run(t, p)
	})
}

func TestServiceEchoesRequest(t *testing.T) {
	withService(t, standin.ServiceOptions{PayloadBytes: 3}, func(t *testing.T, p *pipeNetwork) {
		result := p.serviceClient(t).Send(t.Context(), newSave("k1"))
		if result.Outcome != machine.SendAnswered || result.Load != 0 || result.Leaving {
			t.Fatalf("got %+v", result)
		}
		var got standin.ServiceResponse
		if err := json.Unmarshal(result.Response.Body, &got); err != nil {
			t.Fatal(err)
		}
		want := standin.ServiceResponse{
			Server:     "portal-1",
			Key:        "k1",
			Path:       "/answers//7/?page=2",
			BodyDigest: "0db52f4076c082518412afd3dd3576e2cb0c63703fd7fed5e23ade60efef31d9",
			Payload:    "xxx",
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	})
}

func TestServiceFaults(t *testing.T) {
	tests := []struct {
		fault standin.FaultName
		value string
		want  machine.SendOutcome
		runs  int
	}{
		{fault: standin.FaultSlow, value: "100", want: machine.SendAnswered, runs: 1},
		{fault: standin.FaultFreeze, value: "1", want: machine.SendAnswered, runs: 1},
		// The server executes the request after the client's timeout.
		{fault: standin.FaultFreeze, value: "100", want: machine.SendUnknown, runs: 1},
		{fault: standin.FaultSlow, value: "60000", want: machine.SendUnknown, runs: 1},
		{fault: standin.FaultDropBefore, value: "1", want: machine.SendUnknown},
		{fault: standin.FaultDropAfter, value: "1", want: machine.SendUnknown, runs: 1},
		{fault: standin.FaultTruncate, value: "1", want: machine.SendCut, runs: 1},
		{fault: standin.FaultRefuse, value: "5", want: machine.SendRefused},
		{fault: standin.FaultCrash, value: "5", want: machine.SendUnknown},
	}
	for _, test := range tests {
		t.Run(string(test.fault)+" "+test.value, func(t *testing.T) {
			withService(t, standin.ServiceOptions{ServiceTime: time.Millisecond}, func(t *testing.T, p *pipeNetwork) {
				postJSON(t, p, serviceAddress, "/faults", newFault(test.fault, test.value))
				client := p.serviceClient(t)
				request := newSave("k1")
				request.Deadline = time.Now().Add(10 * time.Second)
				if got := client.Send(t.Context(), request); got.Outcome != test.want {
					t.Errorf("got %+v", got)
				}
				time.Sleep(200 * time.Second)
				postJSON(t, p, serviceAddress, "/faults", newFault(standin.FaultSlow, "0"))
				if got := client.Send(t.Context(), newSave("k2")); got.Outcome != machine.SendAnswered {
					t.Errorf("after the fault: %+v", got)
				}
				want := map[string]int{"k2": 1}
				if test.runs > 0 {
					want["k1"] = test.runs
				}
				var counts map[string]int
				getJSON(t, p, serviceAddress, "/counts", &counts)
				if diff := cmp.Diff(want, counts); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

func TestLeavingServiceRefusesNewWork(t *testing.T) {
	withService(t, standin.ServiceOptions{ServiceTime: time.Minute}, func(t *testing.T, p *pipeNetwork) {
		running := make(chan machine.ServiceResult)
		client := p.serviceClient(t)
		go func() { running <- client.Send(t.Context(), newSave("early")) }()
		synctest.Wait()
		postJSON(t, p, serviceAddress, "/leave", struct{}{})
		late := client.Send(t.Context(), newSave("late"))
		if late.Outcome != machine.SendRefused || !late.Leaving || late.Load != 1 {
			t.Errorf("late: %+v", late)
		}
		poll := machine.PollBackend{Backend: "portal-1", Kind: cluster.KindService, Address: serviceAddress}
		report := p.engineClient(t).Report(t.Context(), poll)
		want := machine.BackendReport{Backend: "portal-1", Leaving: true, Running: 1, Slots: standin.DefaultConcurrency}
		if diff := cmp.Diff(want, report); diff != "" {
			t.Error(diff)
		}
		if early := <-running; early.Outcome != machine.SendAnswered {
			t.Errorf("early: %+v", early)
		}
	})
}

func TestServiceLimitsConcurrency(t *testing.T) {
	options := standin.ServiceOptions{ServiceTime: time.Second, Concurrency: 2, QueueLimit: 4}
	withService(t, options, func(t *testing.T, p *pipeNetwork) {
		client := p.serviceClient(t)
		results := make(chan machine.ServiceResult, 7)
		for range cap(results) {
			go func() { results <- client.Send(t.Context(), newSave("k")) }()
			synctest.Wait()
		}
		countByDuration := map[time.Duration]int{}
		for range cap(results) {
			result := <-results
			if result.Outcome == machine.SendRefused {
				countByDuration[0]++
			} else {
				countByDuration[result.Took]++
			}
		}
		want := map[time.Duration]int{0: 1, time.Second: 2, 2 * time.Second: 2, 3 * time.Second: 2}
		if diff := cmp.Diff(want, countByDuration); diff != "" {
			t.Error(diff)
		}
	})
}

func TestCrashedServerRefusesConnections(t *testing.T) {
	server, err := standin.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	service := standin.NewService(standin.ServiceOptions{Server: server})
	defer service.Close()
	server.Serve(service.Handler())
	crash := `{"name":"crash","value":3600}`
	response, err := http.Post(server.URL()+"/faults", "application/json", strings.NewReader(crash))
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	for {
		conn, err := net.Dial("tcp", server.Address())
		if err != nil {
			break
		}
		conn.Close()
	}
	client := backend.NewServiceClient(backend.Options{})
	defer client.Close()
	request := newSave("k")
	request.Address = server.Address()
	if got := client.Send(t.Context(), request); got.Outcome != machine.SendNotSent {
		t.Errorf("got %+v", got)
	}
}
