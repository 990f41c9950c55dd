package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"foxtailward.example/foxtailward/internal/coordination/confstore"
	"foxtailward.example/foxtailward/internal/coordination/member"
	"foxtailward.example/foxtailward/internal/protocol/status"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

// maxResponseBytes bounds the body of an entry's response.
const maxResponseBytes = 16 << 20

// Client queries the HTTP endpoints that entries offer to operators.
type Client struct {
	// Addresses are the entries' addresses, as host:port or URL. Each call queries
	// them in this order.
	Addresses []string
	HTTP      *http.Client
}

// Status returns the status of the first entry that answers.
func (c *Client) Status(ctx context.Context) (*status.Status, error) {
	const op = "Client.Status"
	err := error(fault.New(op, status.Unreachable, "no entry address given"))
	for _, address := range c.Addresses {
		s := &status.Status{}
		if err = c.get(ctx, address, status.PathStatus, s); err == nil {
			return s, nil
		}
	}
	return nil, err
}

// Explain returns the explanation of a request from the first entry that knows the
// request. The error's kind is NotFound if all entries answer that they do not know
// it.
func (c *Client) Explain(ctx context.Context, request id.Request) (*status.Explanation, error) {
	const op = "Client.Explain"
	var unreachable error
	for _, address := range c.Addresses {
		e := &status.Explanation{}
		err := c.get(ctx, address, status.PathExplain+url.PathEscape(string(request)), e)
		if err == nil {
			return e, nil
		}
		if !fault.Is(err, status.NotFound) {
			unreachable = err
		}
	}
	if unreachable != nil {
		return nil, unreachable
	}
	return nil, fault.New(op, status.NotFound, "no entry that was asked knows request %s", request)
}

// Revisions returns, for each member that is not gone, the newest revision known to
// any of the entries. It fails if one of the entries does not answer.
func (c *Client) Revisions(ctx context.Context) ([]confstore.NodeRevision, error) {
	newest := map[string]id.Revision{}
	for _, address := range c.Addresses {
		s := &status.Status{}
		if err := c.get(ctx, address, status.PathStatus, s); err != nil {
			return nil, err
		}
		addRevisions(newest, s)
	}
	nodes := make([]confstore.NodeRevision, 0, len(newest))
	for node, revision := range newest {
		nodes = append(nodes, confstore.NodeRevision{Node: node, Revision: revision})
	}
	slices.SortFunc(nodes, func(a, b confstore.NodeRevision) int { return strings.Compare(a.Node, b.Node) })
	return nodes, nil
}

func addRevisions(newest map[string]id.Revision, s *status.Status) {
	self := string(status.Entry) + " " + string(s.Entry)
	newest[self] = max(newest[self], s.Revision)
	for i := range s.Members {
		m := &s.Members[i]
		if m.State == member.Gone {
			continue
		}
		node := string(m.Role) + " " + m.Name
		newest[node] = max(newest[node], m.Revision)
	}
}

func (c *Client) get(ctx context.Context, address, path string, dest any) error {
	const op = "Client.get"
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(address, "/")+path, nil)
	if err != nil {
		return fault.Wrap(op, status.Invalid, err)
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return fault.Wrap(op, status.Unreachable, err)
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return fault.New(op, status.NotFound, "%s answered HTTP status 404 for %s", address, path)
	default:
		return fault.New(op, status.Unreachable, "%s answered HTTP status %s", address, response.Status)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return fault.Wrap(op, status.Unreachable, err)
	}
	return fault.Wrap(op, status.Invalid, json.Unmarshal(data, dest))
}
