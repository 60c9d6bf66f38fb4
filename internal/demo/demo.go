// Package demo runs a whole deployment in one process on real loopback sockets:
// the stand-ins of the platform, of engines and of service servers, the nodes,
// and trainers and callers in front of them. What it reports was counted by
// trainers, callers and stand-ins; no node is asked.
package demo

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"dalehook/internal/client"
	"dalehook/internal/cluster"
	"dalehook/internal/record"
	"dalehook/internal/settings"
	"dalehook/internal/standin"
	"dalehook/internal/traffic"
)

// The names that the deployment goes by.
const (
	region      = cluster.RegionName("arequipa")
	enginePool  = "language"
	serviceName = "bridge"
	modelName   = cluster.ModelName("hearing")
	eventName   = "council hearing"
)

// auditTimeout bounds the reading of the servers' counts after the work.
const auditTimeout = 2 * time.Second

// eventLead is the time between the planning of the event and its start.
const eventLead = 4 * time.Second

// callTries is how often a caller sends a request until it counts as lost.
const callTries = 8

// Options configure a run. DefaultOptions holds the sizes of Arequipa.
type Options struct {
	Zones   []cluster.ZoneName
	Nodes   int
	Engines int
	Servers int

	// EngineSlots is the largest batch of an engine, TokenTime its time for a
	// token, SwapTime its pause while it changes versions.
	EngineSlots int
	TokenTime   time.Duration
	SwapTime    time.Duration
	// WeightsRate limits the weight store in fetches a second.
	WeightsRate  float64
	WeightsBurst int
	ListLag      time.Duration
	ServiceTime  time.Duration
	// Capacity is what the nodes are told of these machines.
	Capacity settings.Capacity

	// Workloads are the trainers' steps.
	Workloads []traffic.Workload
	// Versions is the number of versions announced, VersionEvery apart.
	Versions     int
	VersionEvery time.Duration
	// Callers work at the same time and send Requests through the nodes and as
	// many direct.
	Callers  int
	Requests int

	// Timeout bounds the run.
	Timeout time.Duration
	// Progress takes a line now and then; nil for none.
	Progress io.Writer
	Logger   *zap.Logger
}

// DefaultOptions returns a run at the sizes of Arequipa.
func DefaultOptions() Options {
	return Options{
		Zones:        []cluster.ZoneName{"cercado", "yanahuara", "cayma"},
		Nodes:        3,
		Engines:      9,
		Servers:      3,
		EngineSlots:  8,
		TokenTime:    6 * time.Millisecond,
		SwapTime:     50 * time.Millisecond,
		WeightsRate:  30,
		WeightsBurst: 5,
		ListLag:      time.Second,
		ServiceTime:  15 * time.Millisecond,
		Capacity: settings.Capacity{
			EngineTokens: 800,
			StreamTokens: 160,
			ServerSlots:  standin.DefaultConcurrency,
			LoadTime:     300 * time.Millisecond,
			LoadMargin:   500 * time.Millisecond,
			WeightLoads:  30,
		},
		Workloads: []traffic.Workload{
			{Trainer: "captions", Steps: 3, StepInterval: 3 * time.Second, SamplesPerStep: 96, MinTokens: 16, MinLongTokens: 260, MaxTokens: 300, LongSampleInterval: 24, StalenessBound: 1},
			{Trainer: "summaries", Steps: 2, StepInterval: 6 * time.Second, SamplesPerStep: 48, MinTokens: 120, MinLongTokens: 640, MaxTokens: 720, LongSampleInterval: 12, StalenessBound: 2},
		},
		Versions:     4,
		VersionEvery: 3 * time.Second,
		Callers:      24,
		Requests:     6000,
		Timeout:      26 * time.Second,
	}
}

// Run starts the deployment, does the work and returns what was counted.
func Run(ctx context.Context, options Options) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, options.Timeout)
	defer cancel()
	started, err := newDeployment(ctx, options)
	if err != nil {
		return Result{}, err
	}
	defer started.close()
	return newRun(options, started).all(ctx)
}

// run is the work of one demo.
type run struct {
	options    Options
	deployment *deployment
	ledger     *traffic.Ledger
	nodes      *traffic.NodeBalancer
	callers    *traffic.Callers
}

func newRun(options Options, started *deployment) *run {
	nodes := traffic.NewNodeBalancer(started.nodeAddresses())
	return &run{
		options:    options,
		deployment: started,
		ledger:     traffic.NewLedger(),
		nodes:      nodes,
		callers: traffic.NewCallers(traffic.CallersOptions{
			Service:     serviceName,
			Nodes:       nodes,
			Servers:     started.serverClients(),
			Workers:     options.Callers,
			Requests:    options.Requests,
			SendDirect:  true,
			MaxAttempts: callTries,
		}),
	}
}

func (r *run) all(ctx context.Context) (Result, error) {
	start := time.Now()
	if err := r.prepare(ctx); err != nil {
		return Result{}, err
	}
	working, stop := context.WithCancel(ctx)
	var background conc.WaitGroup
	background.Go(func() { r.nodes.Run(working) })
	background.Go(func() { r.report(working) })
	err := r.work(ctx)
	stop()
	background.Wait()
	if err != nil {
		r.say("\n%v\n", err)
	}
	auditing, cancel := context.WithTimeout(context.WithoutCancel(ctx), auditTimeout)
	defer cancel()
	requests, auditErr := r.callers.Audit(auditing)
	if auditErr != nil {
		return Result{}, auditErr
	}
	result := newResult(r.ledger.Counts(), requests, time.Since(start))
	if err != nil {
		result.errors = append(result.errors, err.Error())
	}
	return result, nil
}

// prepare waits for the nodes, publishes the first version, and plans and
// confirms the event.
func (r *run) prepare(ctx context.Context) error {
	r.say("Waiting for %d nodes.\n", r.options.Nodes)
	if err := r.deployment.awaitReady(ctx); err != nil {
		return err
	}
	if err := r.publish(ctx, 1); err != nil {
		return err
	}
	r.say("Planning and confirming the event.\n")
	plan, err := r.confirm(ctx)
	if err != nil {
		return err
	}
	r.say("Waiting for %d of %d engines to load version 1, as planned.\n", len(plan.Loads), r.options.Engines)
	return r.deployment.awaitLoads(ctx, plan.Loads)
}

// work runs trainers, callers and announcements side by side.
func (r *run) work(ctx context.Context) error {
	tasks := pool.New().WithErrors().WithContext(ctx)
	for _, work := range r.options.Workloads {
		trainer := traffic.NewTrainer(traffic.TrainerOptions{Workload: work, Event: eventName, Nodes: r.nodes, Ledger: r.ledger})
		tasks.Go(trainer.Run)
	}
	tasks.Go(r.announce)
	tasks.Go(func(ctx context.Context) error {
		r.callers.Run(ctx)
		return nil
	})
	return tasks.Wait()
}

// announce publishes the further versions while the trainers work.
func (r *run) announce(ctx context.Context) error {
	for version := 2; version <= r.options.Versions; version++ {
		traffic.Sleep(ctx, r.options.VersionEvery)
		if err := r.publish(ctx, cluster.Version(version)); err != nil {
			return err
		}
	}
	return nil
}

// publish puts a version into the weight store and announces it on the log, as
// a trainer does.
func (r *run) publish(ctx context.Context, version cluster.Version) error {
	weights := []byte(fmt.Sprintf("weights of %s, version %d", modelName, version))
	if err := r.deployment.platform.PutWeights(ctx, modelName, version, weights); err != nil {
		return eris.Wrapf(err, "put version %d into the weight store", version)
	}
	payload, err := record.Encode(record.Record{
		ID:   record.ID(fmt.Sprintf("demo-version-%d", version)),
		Body: record.VersionAnnounced{Model: modelName, Version: version, At: time.Now()},
	})
	if err != nil {
		return eris.Wrapf(err, "announce version %d", version)
	}
	if _, _, err := r.deployment.platform.Append(ctx, record.ControlLog, payload); err != nil {
		return eris.Wrapf(err, "announce version %d", version)
	}
	r.ledger.RecordAnnouncement(version)
	return nil
}

// event is what the operator asks for.
func (r *run) event() record.Event {
	event := record.Event{
		Name:     eventName,
		Start:    time.Now().Add(eventLead).UTC(),
		Duration: record.Duration(time.Hour),
		Crowd:    r.options.Requests,
		Arrival:  record.Duration(time.Minute),
		Services: []record.ServiceDemand{{
			Service:           serviceName,
			RequestsPerCaller: 1,
			ServiceTime:       record.Duration(r.options.ServiceTime),
			Importance:        10,
		}},
	}
	for _, work := range r.options.Workloads {
		event.Rollouts = append(event.Rollouts, record.RolloutDemand{
			Trainer:        work.Trainer,
			Pool:           enginePool,
			Model:          modelName,
			SamplesPerStep: work.SamplesPerStep,
			MeanTokens:     2 * work.MinTokens,
			MaxTokens:      work.MaxTokens,
			StepEvery:      record.Duration(work.StepInterval),
			StalenessBound: work.StalenessBound,
			Importance:     5,
		})
	}
	return event
}

// confirm asks one node for the plan and confirms it at another.
func (r *run) confirm(ctx context.Context) (record.Plan, error) {
	nodes := r.deployment.nodeClients()
	var made client.PlanAnswer
	// The node may not have read the announcement, or seen all engines, yet.
	err := persist(ctx, "plan the event", func() (err error) {
		made, err = nodes[0].MakePlan(ctx, r.event())
		if err == nil && len(made.Plan.Missing) > 0 {
			err = eris.Errorf("the plan can't be met: %s", strings.Join(made.Plan.Missing, "; "))
		}
		return err
	})
	if err != nil {
		return record.Plan{}, err
	}
	confirmation := client.Confirmation{Digest: made.Plan.Digest, Revision: made.Plan.Base, Operator: "demo"}
	err = persist(ctx, "confirm the plan", func() error {
		_, err := nodes[len(nodes)-1].ConfirmPlan(ctx, confirmation)
		return err
	})
	return made.Plan, err
}

// report writes the state of the run every now and then.
func (r *run) report(ctx context.Context) {
	const every = 250 * time.Millisecond
	for ctx.Err() == nil {
		samples, requests := r.ledger.Counts(), r.callers.SuccessCount()
		r.say("\r%4d of %d samples delivered, version %d, %5d of %d requests answered", samples.Delivered, samples.Samples,
			r.ledger.NewestVersion(), requests, r.options.Requests)
		traffic.Sleep(ctx, every)
	}
	r.say("\n")
}

// say writes progress, if anyone wants it.
func (r *run) say(format string, arguments ...any) {
	if r.options.Progress != nil {
		fmt.Fprintf(r.options.Progress, format, arguments...)
	}
}
