package traffic

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"dalehook/internal/client"
	"dalehook/internal/record"
	"dalehook/internal/standin"
)

const (
	// readWait is the long-poll timeout of a read.
	readWait = time.Second
	// retryDelay is the pause before a call is retried on another node.
	retryDelay = 100 * time.Millisecond
	// droppedReadInterval makes the trainer discard every droppedReadInterval-th
	// response as if it was lost in transit, and read again from the same cursor.
	droppedReadInterval = 6
)

// Workload describes the steps that a trainer posts.
type Workload struct {
	Trainer string
	Steps   int
	// StepOffset is the number of steps that the trainer posted in earlier runs;
	// step numbers continue from it.
	StepOffset int
	// StepInterval is the expected time between steps.
	StepInterval time.Duration
	// SamplesPerStep is the number of samples in a step.
	SamplesPerStep int
	// MinTokens is the minimum length of a sample. Every LongSampleInterval-th
	// sample has at least MinLongTokens instead. Engines end a sample at
	// MaxTokens.
	MinTokens          int
	MinLongTokens      int
	MaxTokens          int
	LongSampleInterval int
	// StalenessBound is the staleness bound in versions.
	StalenessBound int64
}

// TrainerOptions configure a Trainer.
type TrainerOptions struct {
	Workload Workload
	Event    string
	// Nodes selects the nodes for calls.
	Nodes *NodeBalancer
	// Ledger records what the trainer posts and receives.
	Ledger *Ledger
}

// Trainer posts steps and reads their samples through any node.
type Trainer struct {
	workload Workload
	event    string
	nodes    *NodeBalancer
	ledger   *Ledger
	// nodeIndex selects the node for calls; a failed call advances it.
	nodeIndex int
	readCount int
}

// NewTrainer returns a trainer; Run starts posting steps.
func NewTrainer(options TrainerOptions) *Trainer {
	return &Trainer{workload: options.Workload, event: options.Event, nodes: options.Nodes, ledger: options.Ledger}
}

// Run posts and reads the steps one after the other.
func (t *Trainer) Run(ctx context.Context) error {
	for number := range t.workload.Steps {
		step := t.newStep(t.workload.StepOffset + number + 1)
		if err := t.post(ctx, step); err != nil {
			return err
		}
		if err := t.readAll(ctx, step.ID); err != nil {
			return err
		}
	}
	return nil
}

// newStep returns a step. The samples of a group share a prompt prefix.
func (t *Trainer) newStep(number int) client.Step {
	const samplesPerGroup = 4
	step := client.Step{
		Event:   t.event,
		Trainer: t.workload.Trainer,
		ID:      fmt.Sprintf("%s-%d", t.workload.Trainer, number),
	}
	for i := range t.workload.SamplesPerStep {
		group := fmt.Sprintf("%s-%d", step.ID, i/samplesPerGroup)
		tokens := t.workload.MinTokens
		if i%t.workload.LongSampleInterval == t.workload.LongSampleInterval-1 {
			tokens = t.workload.MinLongTokens
		}
		step.Samples = append(step.Samples, record.Sample{
			ID:        fmt.Sprintf("%s-%03d", t.workload.Trainer, i),
			Prompt:    newPrompt(group, i, tokens),
			MaxTokens: t.workload.MaxTokens,
			Group:     group,
		})
	}
	return step
}

// newPrompt returns a prompt whose completion by the stand-in engines has at least
// a number of tokens. It tries prompts in turn, because the length of a completion
// is a function of the prompt.
func newPrompt(group string, speaker, tokens int) string {
	for take := 1; ; take++ {
		prompt := fmt.Sprintf("Council hearing, recording %s. Speaker %d, take %d.", group, speaker, take)
		if standin.CompletionLength(prompt, tokens) >= tokens {
			return prompt
		}
	}
}

// post posts a step until a node accepts it. Posting a step is idempotent.
func (t *Trainer) post(ctx context.Context, step client.Step) error {
	return t.retry(ctx, "post", step.ID, func(node *client.Client) error {
		if _, err := node.PostStep(ctx, step); err != nil {
			return err
		}
		t.ledger.RecordStep(step, t.workload.StalenessBound)
		return nil
	})
}

// readAll reads a step to its end and acknowledges the last samples.
func (t *Trainer) readAll(ctx context.Context, step string) error {
	cursor := ""
	for {
		page, err := t.readPage(ctx, step, cursor)
		if err != nil {
			return err
		}
		advanced := page.Cursor != cursor
		cursor = page.Cursor
		if page.Done && !advanced {
			return nil
		}
	}
}

// readPage reads one page and records its samples, unless the response is
// discarded.
func (t *Trainer) readPage(ctx context.Context, step, cursor string) (client.SamplesPage, error) {
	var page client.SamplesPage
	err := t.retry(ctx, "read", step, func(node *client.Client) error {
		newest := t.ledger.NewestVersion()
		response, err := node.ReadSamples(ctx, client.ReadRequest{Step: step, Cursor: cursor, MaxWait: readWait, Version: newest})
		if err != nil {
			return err
		}
		t.readCount++
		if t.readCount%droppedReadInterval == 0 {
			page = client.SamplesPage{Cursor: cursor}
			return nil
		}
		t.ledger.RecordReceived(step, newest, response.Samples)
		page = response
		return nil
	})
	return page, err
}

// retry calls one node after another until a call succeeds, fails with a final
// error or ctx ends.
func (t *Trainer) retry(ctx context.Context, operation, step string, call func(*client.Client) error) error {
	for {
		err := call(t.nodes.Pick(t.nodeIndex))
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || client.IsPermanent(err) {
			return eris.Wrapf(err, "%s step %s", operation, step)
		}
		t.nodeIndex++
		Sleep(ctx, retryDelay)
	}
}
