package operator

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/url"
)

// RemoveMember removes a quorum member by its identity. The quorum rejects the removal if the member is running, or if it
// would reduce the fault tolerance of the quorum.
func (c *Client) RemoveMember(ctx context.Context, identity string) error {
	status, response, err := c.call(ctx, http.MethodPost, "/member/remove/"+url.PathEscape(identity), nil, nil)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("the quorum returned status %d: %s", status, bytes.TrimSpace(response))
	}
	return err
}
