// Package rehearse runs an event on virtual time, over the product's own nodes
// and models of everything outside, and reports what its trainers and callers
// would see under dalehook's placement and under simpler ones.
package rehearse

import (
	"bytes"
	"errors"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"

	"dalehook/internal/record"
	"dalehook/internal/sim"
	"dalehook/internal/sim/backend"
)

// File is an event file: the event as operators plan it, and the parameters of
// its rehearsal. docs/design/rehearsal.md gives the source of each default.
type File struct {
	record.Event `yaml:",inline"`
	Rehearsal    Parameters `yaml:"rehearsal"`
}

// Parameters describe the world of a rehearsal. Zero values take the defaults.
type Parameters struct {
	// Deployment names the zones, latencies and sizes: arequipa or medellin.
	Deployment string `yaml:"deployment" validate:"required,oneof=arequipa medellin"`
	// Engines, Servers and Nodes replace the deployment's sizes.
	Engines int `yaml:"engines" validate:"gte=0"`
	Servers int `yaml:"servers" validate:"gte=0"`
	Nodes   int `yaml:"nodes" validate:"gte=0"`
	// Lead is the time before the event's start at which the rehearsal begins.
	Lead record.Duration `yaml:"lead"`
	// Length is how long the crowd is followed after the start; by default the
	// event's duration.
	Length   record.Duration     `yaml:"length"`
	Engine   EngineParameters    `yaml:"engine"`
	Weights  WeightParameters    `yaml:"weights"`
	Server   ServerParameters    `yaml:"server"`
	Trainers []TrainerParameters `yaml:"trainers" validate:"dive"`
}

// EngineParameters replace parts of the engines' default profile.
type EngineParameters struct {
	Slots          int             `yaml:"slots" validate:"gte=0"`
	DecodeBase     record.Duration `yaml:"decode_base"`
	DecodeEach     record.Duration `yaml:"decode_each"`
	PrefillRate    float64         `yaml:"prefill_rate" validate:"gte=0"`
	KVCapacity     int             `yaml:"kv_capacity" validate:"gte=0"`
	PrefixCapacity int             `yaml:"prefix_capacity" validate:"gte=0"`
	SwapTime       record.Duration `yaml:"swap_time"`
	ChunkEvery     record.Duration `yaml:"chunk_every"`
	ReportLag      record.Duration `yaml:"report_lag"`
}

// WeightParameters describe the weight store.
type WeightParameters struct {
	FetchTime        record.Duration `yaml:"fetch_time"`
	FetchesPerSecond float64         `yaml:"fetches_per_second" validate:"gte=0"`
}

// ServerParameters describe the service servers.
type ServerParameters struct {
	Slots int `yaml:"slots" validate:"gte=0"`
	Queue int `yaml:"queue" validate:"gte=0"`
}

// TrainerParameters describe a trainer beyond what its rollout demand says.
type TrainerParameters struct {
	Trainer string `yaml:"trainer" validate:"required"`
	// Steps is how many steps are rehearsed, Ahead how many are open at once.
	Steps int `yaml:"steps" validate:"gte=0"`
	Ahead int `yaml:"ahead" validate:"gte=0"`
	// Train is the time from a whole step to the next version.
	Train     record.Duration `yaml:"train"`
	GroupSize int             `yaml:"group_size" validate:"gte=0"`
	// Groups is the number of prompt groups that steps draw from; with zero each
	// step has groups of its own.
	Groups int `yaml:"groups" validate:"gte=0"`
	// Median and Sigma shape the log-normal body of the answers' lengths inside
	// a group, GroupSigma that of the groups' medians.
	Median     float64 `yaml:"median" validate:"gte=0"`
	Sigma      float64 `yaml:"sigma" validate:"gte=0"`
	GroupSigma float64 `yaml:"group_sigma" validate:"gte=0"`
	// TailShare of the answers come from a Pareto tail from TailFrom tokens on
	// with the exponent TailAlpha.
	TailShare float64 `yaml:"tail_share" validate:"gte=0,lte=1"`
	TailFrom  float64 `yaml:"tail_from" validate:"gte=0"`
	TailAlpha float64 `yaml:"tail_alpha" validate:"gte=0"`
	// Prompt is the length of a prompt's own part, Shared that of its group's.
	Prompt int `yaml:"prompt" validate:"gte=0"`
	Shared int `yaml:"shared" validate:"gte=0"`
}

// Load reads an event file. Unknown keys are refused with their line.
func Load(path string) (File, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return File{}, eris.Wrap(err, "read event file")
	}
	file, err := Parse(content)
	return file, eris.Wrapf(err, "event file %s", path)
}

// Parse reads the content of an event file.
func Parse(content []byte) (File, error) {
	var file File
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	if err := decoder.Decode(&file); err != nil {
		return File{}, err
	}
	check := validator.New(validator.WithRequiredStructEnabled())
	check.RegisterTagNameFunc(func(member reflect.StructField) string {
		name, _, _ := strings.Cut(member.Tag.Get("yaml"), ",")
		return name
	})
	var failures validator.ValidationErrors
	if errors.As(check.Struct(file), &failures) {
		lines := make([]string, 0, len(failures))
		for _, f := range failures {
			lines = append(lines, f.Namespace()+": fails the rule "+f.Tag())
		}
		return File{}, eris.New(strings.Join(lines, "\n"))
	}
	return file, file.checkTrainers()
}

func (f File) checkTrainers() error {
	known := make(map[string]bool)
	for _, demand := range f.Rollouts {
		known[demand.Trainer] = true
	}
	for _, t := range f.Rehearsal.Trainers {
		if !known[t.Trainer] {
			return eris.Errorf("rehearsal.trainers: %q has no rollout in the event", t.Trainer)
		}
	}
	return nil
}

// orElse returns the value, or the default when it is zero.
func orElse[T comparable](value, standard T) T {
	var zero T
	if value == zero {
		return standard
	}
	return value
}

func (e EngineParameters) profile() backend.EngineProfile {
	p := backend.DefaultEngineProfile()
	p.Slots = orElse(e.Slots, p.Slots)
	p.DecodeBase = orElse(e.DecodeBase.Std(), p.DecodeBase)
	p.DecodeEach = orElse(e.DecodeEach.Std(), p.DecodeEach)
	p.PrefillRate = orElse(e.PrefillRate, p.PrefillRate)
	p.KVCapacity = orElse(e.KVCapacity, p.KVCapacity)
	p.PrefixCapacity = orElse(e.PrefixCapacity, p.PrefixCapacity)
	p.SwapTime = orElse(e.SwapTime.Std(), p.SwapTime)
	p.ChunkEvery = orElse(e.ChunkEvery.Std(), p.ChunkEvery)
	p.ReportLag = orElse(e.ReportLag.Std(), p.ReportLag)
	return p
}

// trainer returns the parameters of one trainer, with their defaults.
func (p Parameters) trainer(demand record.RolloutDemand) TrainerParameters {
	t := TrainerParameters{Trainer: demand.Trainer}
	for _, stated := range p.Trainers {
		if stated.Trainer == demand.Trainer {
			t = stated
		}
	}
	t.Steps = orElse(t.Steps, 4)
	t.Ahead = orElse(t.Ahead, 1)
	t.Train = orElse(t.Train, record.Duration(30*time.Second))
	t.GroupSize = orElse(t.GroupSize, 8)
	t.Sigma = orElse(t.Sigma, 0.5)
	t.GroupSigma = orElse(t.GroupSigma, 0.6)
	t.Median = orElse(t.Median, float64(demand.MeanTokens)*0.7)
	t.TailFrom = orElse(t.TailFrom, 3*float64(demand.MeanTokens))
	t.TailAlpha = orElse(t.TailAlpha, 1.8)
	t.Prompt = orElse(t.Prompt, 100)
	t.Shared = orElse(t.Shared, 500)
	return t
}

func (t TrainerParameters) lengths() sim.Lengths {
	return sim.Lengths{
		Median: t.Median, Sigma: t.Sigma, GroupSigma: t.GroupSigma, TailShare: t.TailShare, TailFrom: t.TailFrom, TailAlpha: t.TailAlpha,
		Prompt: t.Prompt, Shared: t.Shared,
	}
}
