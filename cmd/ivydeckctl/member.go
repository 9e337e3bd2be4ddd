package main

import (
	"context"
	"fmt"
)

// memberRemoveCmd removes a quorum member that is lost permanently.
type memberRemoveCmd struct {
	quorumFlags
	Identity string `arg:"" help:"Identity of the member, as printed by the members command."`
}

func (c *memberRemoveCmd) Run(ctx context.Context) error {
	quorum, err := c.client()
	if err != nil {
		return err
	}
	if err := quorum.RemoveMember(ctx, c.Identity); err != nil {
		return err
	}
	fmt.Printf("removed member %s\n", c.Identity)
	return nil
}
