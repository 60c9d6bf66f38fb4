// Package demo runs a complete deployment in one process on loopback sockets:
// stand-ins for the platform, the engines and the service servers, the nodes, and
// trainers and callers as their clients. All results are counted by trainers,
// callers and stand-ins; none are taken from a node.
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

// The names used in the deployment.
const (
	region      = cluster.RegionName("arequipa")
	enginePool  = "language"
	serviceName = "bridge"
	modelName   = cluster.ModelName("hearing")
	eventName   = "council hearing"
)

// auditTimeout bounds the reading of the servers' counts after the workloads end.
const auditTimeout = 2 * time.Second

// eventLeadTime is the time between planning the event and its start.
const eventLeadTime = 4 * time.Second

// maxCallAttempts is the number of times that a caller sends a request before it
// counts as lost.
const maxCallAttempts = 8

// Options configure a run. DefaultOptions returns the sizes of the Arequipa
// deployment.
type Options struct {
	Zones   []cluster.ZoneName
	Nodes   int
	Engines int
	Servers int

	// EngineSlots is the maximum batch size of an engine, TokenTime its time per
	// token, SwapTime its pause while it swaps versions.
	EngineSlots int
	TokenTime   time.Duration
	SwapTime    time.Duration
	// WeightsRate limits the weight store's fetches per second.
	WeightsRate  float64
	WeightsBurst int
	ListLag      time.Duration
	ServiceTime  time.Duration
	// Capacity is the nodes' configured capacity of these machines.
	Capacity settings.Capacity

	// Workloads holds the workload of each trainer.
	Workloads []traffic.Workload
	// Versions is the number of versions announced, one every VersionInterval.
	Versions        int
	VersionInterval time.Duration
	// Callers is the number of concurrent callers. Together they send Requests
	// requests through the nodes and as many directly to the servers.
	Callers  int
	Requests int

	// Timeout bounds the run.
	Timeout time.Duration
	// Progress receives progress output; nil disables it.
	Progress io.Writer
	Logger   *zap.Logger
}

// DefaultOptions returns options with the sizes of the Arequipa deployment.
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
			EngineTokensPerSecond: 800,
			StreamTokensPerSecond: 160,
			ServerSlots:           standin.DefaultConcurrency,
			LoadTime:              300 * time.Millisecond,
			LoadMargin:            500 * time.Millisecond,
			WeightLoadsPerSecond:  30,
		},
		Workloads: []traffic.Workload{
			{Trainer: "captions", Steps: 3, StepInterval: 3 * time.Second, SamplesPerStep: 96, MinTokens: 16, MinLongTokens: 260, MaxTokens: 300, LongSampleInterval: 24, StalenessBound: 1},
			{Trainer: "summaries", Steps: 2, StepInterval: 6 * time.Second, SamplesPerStep: 48, MinTokens: 120, MinLongTokens: 640, MaxTokens: 720, LongSampleInterval: 12, StalenessBound: 2},
		},
		Versions:        4,
		VersionInterval: 3 * time.Second,
		Callers:         24,
		Requests:        6000,
		Timeout:         26 * time.Second,
	}
}

// Run starts the deployment, runs the workloads and returns the counts.
func Run(ctx context.Context, options Options) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, options.Timeout)
	defer cancel()
	deployment, err := newDeployment(ctx, options)
	if err != nil {
		return Result{}, err
	}
	defer deployment.close()
	return newRun(options, deployment).execute(ctx)
}

// run is the state of one demo run.
type run struct {
	options    Options
	deployment *deployment
	ledger     *traffic.Ledger
	nodes      *traffic.NodeBalancer
	callers    *traffic.Callers
}

func newRun(options Options, deployment *deployment) *run {
	nodes := traffic.NewNodeBalancer(deployment.nodeAddresses())
	return &run{
		options:    options,
		deployment: deployment,
		ledger:     traffic.NewLedger(),
		nodes:      nodes,
		callers: traffic.NewCallers(traffic.CallersOptions{
			Service:     serviceName,
			Nodes:       nodes,
			Servers:     deployment.serverClients(),
			Workers:     options.Callers,
			Requests:    options.Requests,
			SendDirect:  true,
			MaxAttempts: maxCallAttempts,
		}),
	}
}

func (r *run) execute(ctx context.Context) (Result, error) {
	start := time.Now()
	if err := r.prepare(ctx); err != nil {
		return Result{}, err
	}
	workCtx, cancelWork := context.WithCancel(ctx)
	var background conc.WaitGroup
	background.Go(func() { r.nodes.Run(workCtx) })
	background.Go(func() { r.reportProgress(workCtx) })
	err := r.runWorkloads(ctx)
	cancelWork()
	background.Wait()
	if err != nil {
		r.printf("\n%v\n", err)
	}
	auditCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), auditTimeout)
	defer cancel()
	requests, auditErr := r.callers.Audit(auditCtx)
	if auditErr != nil {
		return Result{}, auditErr
	}
	result := newResult(r.ledger.Counts(), requests, time.Since(start))
	if err != nil {
		result.runErrors = append(result.runErrors, err.Error())
	}
	return result, nil
}

// prepare waits for the nodes, publishes the first version, and plans and
// confirms the event.
func (r *run) prepare(ctx context.Context) error {
	r.printf("Waiting for %d nodes.\n", r.options.Nodes)
	if err := r.deployment.awaitReady(ctx); err != nil {
		return err
	}
	if err := r.publish(ctx, 1); err != nil {
		return err
	}
	r.printf("Planning and confirming the event.\n")
	plan, err := r.planAndConfirm(ctx)
	if err != nil {
		return err
	}
	r.printf("Waiting for %d of %d engines to load version 1, as planned.\n", len(plan.Loads), r.options.Engines)
	return r.deployment.awaitLoads(ctx, plan.Loads)
}

// runWorkloads runs trainers, callers and version announcements concurrently.
func (r *run) runWorkloads(ctx context.Context) error {
	tasks := pool.New().WithErrors().WithContext(ctx)
	for _, workload := range r.options.Workloads {
		trainer := traffic.NewTrainer(traffic.TrainerOptions{Workload: workload, Event: eventName, Nodes: r.nodes, Ledger: r.ledger})
		tasks.Go(trainer.Run)
	}
	tasks.Go(r.publishVersions)
	tasks.Go(func(ctx context.Context) error {
		r.callers.Run(ctx)
		return nil
	})
	return tasks.Wait()
}

// publishVersions publishes all versions after the first while the trainers run.
func (r *run) publishVersions(ctx context.Context) error {
	for version := 2; version <= r.options.Versions; version++ {
		traffic.Sleep(ctx, r.options.VersionInterval)
		if err := r.publish(ctx, cluster.Version(version)); err != nil {
			return err
		}
	}
	return nil
}

// publish uploads a version to the weight store and announces it on the control
// log, as a trainer does.
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

// newEvent returns the event that the operator plans.
func (r *run) newEvent() record.Event {
	event := record.Event{
		Name:     eventName,
		Start:    time.Now().Add(eventLeadTime).UTC(),
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
	for _, workload := range r.options.Workloads {
		event.Rollouts = append(event.Rollouts, record.RolloutDemand{
			Trainer:        workload.Trainer,
			Pool:           enginePool,
			Model:          modelName,
			SamplesPerStep: workload.SamplesPerStep,
			MeanTokens:     2 * workload.MinTokens,
			MaxTokens:      workload.MaxTokens,
			StepEvery:      record.Duration(workload.StepInterval),
			StalenessBound: workload.StalenessBound,
			Importance:     5,
		})
	}
	return event
}

// planAndConfirm requests the plan from one node and confirms it at another.
func (r *run) planAndConfirm(ctx context.Context) (record.Plan, error) {
	nodes := r.deployment.nodeClients()
	var planned client.PlanResponse
	// The node may not have read the announcement or discovered all engines yet.
	err := retry(ctx, "plan the event", func() (err error) {
		planned, err = nodes[0].CreatePlan(ctx, r.newEvent())
		if err == nil && len(planned.Plan.Missing) > 0 {
			err = eris.Errorf("the plan can't be met: %s", strings.Join(planned.Plan.Missing, "; "))
		}
		return err
	})
	if err != nil {
		return record.Plan{}, err
	}
	confirmation := client.Confirmation{Digest: planned.Plan.Digest, Revision: planned.Plan.Base, Operator: "demo"}
	err = retry(ctx, "confirm the plan", func() error {
		_, err := nodes[len(nodes)-1].ConfirmPlan(ctx, confirmation)
		return err
	})
	return planned.Plan, err
}

// reportProgress prints the state of the run periodically.
func (r *run) reportProgress(ctx context.Context) {
	const interval = 250 * time.Millisecond
	for ctx.Err() == nil {
		samples, requests := r.ledger.Counts(), r.callers.SuccessCount()
		r.printf("\r%4d of %d samples delivered, version %d, %5d of %d requests answered", samples.Delivered, samples.Samples,
			r.ledger.NewestVersion(), requests, r.options.Requests)
		traffic.Sleep(ctx, interval)
	}
	r.printf("\n")
}

// printf writes progress output, if it is enabled.
func (r *run) printf(format string, arguments ...any) {
	if r.options.Progress != nil {
		fmt.Fprintf(r.options.Progress, format, arguments...)
	}
}
