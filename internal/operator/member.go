package operator

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/url"
)

// RemoveMember removes a quorum member by its identity. It is refused where the member runs, or where the quorum would
// be less tolerant without it.
func (c *Client) RemoveMember(ctx context.Context, identity string) error {
	status, answer, err := c.call(ctx, http.MethodPost, "/member/remove/"+url.PathEscape(identity), nil, nil)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("%d: %s", status, bytes.TrimSpace(answer))
	}
	return err
}
