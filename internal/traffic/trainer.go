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
	// readWait is how long a node may hold back the answer to a read.
	readWait = time.Second
	// retryPause is the time before a call is tried again on another node.
	retryPause = 100 * time.Millisecond
	// lostAnswerEvery says which answers of a node the trainer drops as if they
	// were lost on their way; it then reads again from the same cursor.
	lostAnswerEvery = 6
)

// Workload says what a trainer posts.
type Workload struct {
	Trainer string
	Steps   int
	// Earlier is the number of steps that the trainer has posted before.
	Earlier int
	// Every is the time that the trainer expects from one step to the next.
	Every time.Duration
	// Samples is the number of samples in a step.
	Samples int
	// Tokens is the least length of an ordinary sample, LongTokens that of each
	// LongEvery-th, MaxTokens the length at which an engine ends a sample.
	Tokens     int
	LongTokens int
	MaxTokens  int
	LongEvery  int
	// Bound is the staleness bound in versions.
	Bound int64
}

// TrainerOptions configure a Trainer.
type TrainerOptions struct {
	Work  Workload
	Event string
	// Nodes lists the nodes to ask.
	Nodes *Directory
	// Ledger takes what the trainer posts and receives.
	Ledger *Ledger
}

// Trainer posts steps and reads their samples through any node.
type Trainer struct {
	work   Workload
	event  string
	nodes  *Directory
	ledger *Ledger
	// next is the node to ask; a failed call moves it on.
	next  int
	reads int
}

// NewTrainer returns a trainer that has posted nothing.
func NewTrainer(options TrainerOptions) *Trainer {
	return &Trainer{work: options.Work, event: options.Event, nodes: options.Nodes, ledger: options.Ledger}
}

// Run posts and reads one step after the other.
func (t *Trainer) Run(ctx context.Context) error {
	for number := range t.work.Steps {
		step := t.step(t.work.Earlier + number + 1)
		if err := t.post(ctx, step); err != nil {
			return err
		}
		if err := t.readAll(ctx, step.Step); err != nil {
			return err
		}
	}
	return nil
}

// step makes a step; the samples of a group share the start of their prompts.
func (t *Trainer) step(number int) client.Step {
	const samplesPerGroup = 4
	step := client.Step{
		Event:   t.event,
		Trainer: t.work.Trainer,
		Step:    fmt.Sprintf("%s-%d", t.work.Trainer, number),
	}
	for i := range t.work.Samples {
		group := fmt.Sprintf("%s-%d", step.Step, i/samplesPerGroup)
		tokens := t.work.Tokens
		if i%t.work.LongEvery == t.work.LongEvery-1 {
			tokens = t.work.LongTokens
		}
		step.Samples = append(step.Samples, record.Sample{
			ID:        fmt.Sprintf("%s-%03d", t.work.Trainer, i),
			Prompt:    promptFor(group, i, tokens),
			MaxTokens: t.work.MaxTokens,
			Group:     group,
		})
	}
	return step
}

// promptFor returns a prompt to which the stand-ins' model answers with a least
// number of tokens; the length of an answer follows from the prompt.
func promptFor(group string, speaker, tokens int) string {
	for take := 1; ; take++ {
		prompt := fmt.Sprintf("Council hearing, recording %s. Speaker %d, take %d.", group, speaker, take)
		if standin.CompletionLength(prompt, tokens) >= tokens {
			return prompt
		}
	}
}

// post posts a step until a node accepts it. Posting it twice is harmless.
func (t *Trainer) post(ctx context.Context, step client.Step) error {
	return t.try(ctx, "post", step.Step, func(node *client.Client) error {
		if _, err := node.PostStep(ctx, step); err != nil {
			return err
		}
		t.ledger.Posted(step, t.work.Bound)
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
		moved := page.Cursor != cursor
		cursor = page.Cursor
		if page.Done && !moved {
			return nil
		}
	}
}

// readPage reads once and takes the samples, unless the answer is dropped.
func (t *Trainer) readPage(ctx context.Context, step, cursor string) (client.Page, error) {
	var page client.Page
	err := t.try(ctx, "read", step, func(node *client.Client) error {
		newest := t.ledger.Newest()
		answer, err := node.ReadSamples(ctx, client.Read{Step: step, After: cursor, Wait: readWait, Version: newest})
		if err != nil {
			return err
		}
		t.reads++
		if t.reads%lostAnswerEvery == 0 {
			page = client.Page{Cursor: cursor}
			return nil
		}
		t.ledger.Took(step, newest, answer.Samples)
		page = answer
		return nil
	})
	return page, err
}

// try calls one node after another until a call succeeds or a refusal is final.
func (t *Trainer) try(ctx context.Context, doing, step string, call func(*client.Client) error) error {
	for {
		err := call(t.nodes.Pick(t.next))
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || client.IsFinal(err) {
			return eris.Wrapf(err, "%s step %s", doing, step)
		}
		t.next++
		Pause(ctx, retryPause)
	}
}
