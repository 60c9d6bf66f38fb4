package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"dalehook/internal/client"
	"dalehook/internal/record"
)

// confirmCommand confirms a plan, which puts it in force.
type confirmCommand struct {
	streams      Streams
	clientFlags  clientFlags
	digest       string
	revision     uint64
	operatorName string
	planPath     string
}

func newConfirmCommand(streams Streams) *confirmCommand { return &confirmCommand{streams: streams} }

// Name implements subcommands.Command.
func (*confirmCommand) Name() string { return "confirm" }

// Synopsis implements subcommands.Command.
func (*confirmCommand) Synopsis() string { return "put a plan in force" }

// Usage implements subcommands.Command.
func (*confirmCommand) Usage() string {
	return `confirm -node ADDRESS -digest DIGEST -revision N -operator NAME [-json]:
confirm -node ADDRESS -plan FILE -operator NAME [-json]:
	Puts a plan in force. When another change was confirmed since the plan was
	made, nothing changes and the winner is named; ask for a new plan then.
	Confirming twice is the same as once.
`
}

// SetFlags implements subcommands.Command.
func (c *confirmCommand) SetFlags(flags *flag.FlagSet) {
	c.clientFlags.register(flags)
	flags.StringVar(&c.digest, "digest", "", "digest of the plan")
	flags.Uint64Var(&c.revision, "revision", 0, "revision that the plan was made from")
	flags.StringVar(&c.operatorName, "operator", "", "your name, for the record (required)")
	flags.StringVar(&c.planPath, "plan", "", "`file` with the output of \"plan -json\", in place of -digest and -revision")
}

// Execute implements subcommands.Command.
func (c *confirmCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	node, ok := c.clientFlags.newClient(c.streams, flags)
	if !ok {
		return subcommands.ExitUsageError
	}
	confirmation, err := c.confirmation()
	if err != nil {
		fmt.Fprintf(c.streams.Error, "confirm: %v\n", err)
		return subcommands.ExitUsageError
	}
	ctx, cancel := c.clientFlags.withTimeout(ctx)
	defer cancel()
	response, err := node.ConfirmPlan(ctx, confirmation)
	if err != nil {
		return printFailure(c.streams, "confirm", err)
	}
	if c.clientFlags.json {
		return printJSON(c.streams, response)
	}
	fmt.Fprintf(c.streams.Output, "Plan %s is in force at revision %d.\n", response.Digest, response.Revision)
	return subcommands.ExitSuccess
}

// confirmation builds the confirmation from the flags or from the plan file.
func (c *confirmCommand) confirmation() (client.Confirmation, error) {
	if c.operatorName == "" {
		return client.Confirmation{}, eris.New("-operator is required")
	}
	confirmation := client.Confirmation{
		Digest:   c.digest,
		Revision: record.Revision(c.revision),
		Operator: c.operatorName,
	}
	if c.planPath == "" {
		if c.digest == "" {
			return client.Confirmation{}, eris.New("-digest or -plan is required")
		}
		return confirmation, nil
	}
	if c.digest != "" || c.revision != 0 {
		return client.Confirmation{}, eris.New("-plan can't be used together with -digest or -revision")
	}
	content, err := os.ReadFile(c.planPath)
	if err != nil {
		return client.Confirmation{}, eris.Wrap(err, "read the plan's file")
	}
	var response client.PlanResponse
	if err := json.Unmarshal(content, &response); err != nil {
		return client.Confirmation{}, eris.Wrapf(err, "decode %s", c.planPath)
	}
	if response.Plan.Digest == "" {
		return client.Confirmation{}, eris.Errorf("%s holds no plan", c.planPath)
	}
	confirmation.Digest = response.Plan.Digest
	confirmation.Revision = response.Plan.Base
	confirmation.Plan = &response.Plan
	return confirmation, nil
}
