package main

import (
	"context"
	"fmt"
)

// memberRemoveCmd removes a quorum member that is lost for good.
type memberRemoveCmd struct {
	quorumFlags
	Identity string `arg:"" help:"Its identity, as members prints it."`
}

func (c *memberRemoveCmd) Run(ctx context.Context) error {
	quorum, err := c.client()
	if err != nil {
		return err
	}
	if err := quorum.RemoveMember(ctx, c.Identity); err != nil {
		return err
	}
	fmt.Printf("%s is no member any longer\n", c.Identity)
	return nil
}
