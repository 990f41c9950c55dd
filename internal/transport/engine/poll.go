package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"time"

	"foxtailward.example/foxtailward/internal/coordination/completion"
	"foxtailward.example/foxtailward/internal/protocol/engine"
	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/id"
)

// Health returns nil if the engine takes work.
func (c *Client) Health(ctx context.Context) error {
	_, err := c.get(ctx, "/health")
	return err
}

// Metrics are the load figures that the engine reports. They lag behind the
// actual load.
type Metrics struct {
	Running int
	Waiting int
	// WaitingPrefill is the number of prompt tokens in the engine's queue.
	WaitingPrefill int
	// Pace is the mean time between two tokens of one generation.
	Pace time.Duration
	// PrefillPerToken is the prefill time per prompt token.
	PrefillPerToken time.Duration
}

// Metrics reads the engine's load figures. A page whose end nothing marks must end with a whole line.
func (c *Client) Metrics(ctx context.Context) (Metrics, error) {
	body, framing, err := c.getFramed(ctx, "/metrics")
	if err != nil {
		return Metrics{}, err
	}
	if framing == completion.Connection && !bytes.HasSuffix(body, []byte("\n")) {
		return Metrics{}, fault.New("Client.Metrics", Malformed, "the page of %d bytes ends within a line", len(body))
	}
	return ParseMetrics(body), nil
}

// ParseMetrics reads the known metrics from a page in the Prometheus text
// format. It skips other metrics and malformed lines.
func ParseMetrics(page []byte) Metrics {
	var m Metrics
	for line := range bytes.Lines(page) {
		name, value, ok := parseSample(line)
		if !ok {
			continue
		}
		switch name {
		case engine.MetricRunning:
			m.Running = int(value)
		case engine.MetricWaiting:
			m.Waiting = int(value)
		case engine.MetricWaitingPrefill:
			m.WaitingPrefill = int(value)
		case engine.MetricTokenInterval:
			m.Pace = seconds(value)
		case engine.MetricPrefillCost:
			m.PrefillPerToken = seconds(value)
		}
	}
	return m
}

// parseSample splits a line such as `name{label="a"} 1.5` into name and
// value.
func parseSample(line []byte) (string, float64, bool) {
	line = bytes.TrimSpace(line)
	if len(line) == 0 || line[0] == '#' {
		return "", 0, false
	}
	end := bytes.IndexAny(line, "{ \t")
	if end < 0 {
		return "", 0, false
	}
	rest := line[end:]
	if rest[0] == '{' {
		_, after, ok := bytes.Cut(rest, []byte("}"))
		if !ok {
			return "", 0, false
		}
		rest = after
	}
	fields := bytes.Fields(rest)
	if len(fields) == 0 {
		return "", 0, false
	}
	value, err := strconv.ParseFloat(string(fields[0]), 64)
	// NaN and negative values are not valid load figures.
	return string(line[:end]), value, err == nil && value >= 0
}

func seconds(v float64) time.Duration {
	return time.Duration(v * float64(time.Second))
}

// CacheEvents returns the events of the prefix cache whose numbers are higher
// than after.
func (c *Client) CacheEvents(ctx context.Context, after uint64) (*engine.CacheEvents, error) {
	body, err := c.get(ctx, fmt.Sprintf("/cache_events?after=%d", after))
	if err != nil {
		return nil, err
	}
	var events engine.CacheEvents
	if err := json.Unmarshal(body, &events); err != nil {
		return nil, fault.Wrap("Client.CacheEvents", Malformed, err)
	}
	return &events, nil
}

// Order sends an order to the engine. An engine that supports fencing refuses
// an order with an old fencing number, with an error of kind Fenced.
func (c *Client) Order(ctx context.Context, order engine.Order) (id.Fence, error) {
	resp, err := c.post(ctx, "/orders", &order)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var result engine.OrderResult
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxDocumentBytes)).Decode(&result); err != nil {
		return 0, fault.Wrap("Client.Order", Malformed, err)
	}
	if !result.Applied {
		return id.Fence(result.Fence), fault.New("Client.Order", Refused, "the engine did not apply order %s", order.ID)
	}
	return id.Fence(result.Fence), nil
}
