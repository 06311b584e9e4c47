package sdcli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/google/uuid"

	"github.com/savorydeal/savorydeal/internal/sdoperatorapi"
)

// maxPolicyBytes is the maximum size of a policy file.
const maxPolicyBytes = 1 << 20

func runList(ctx context.Context, c *client) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := c.api.ListPolicies(ctx)
	if err != nil {
		return err
	}
	if c.jsonOutput() {
		return c.printJSON(list)
	}
	rows := [][]string{{"SERVICE", "VERSION", "CHANGED", "OPERATIONS"}}
	for _, record := range list.Policies {
		rows = append(rows, []string{
			record.Service, fmt.Sprint(record.Version), record.ChangedAt.Format(time.RFC3339),
			fmt.Sprint(len(record.Policy.Value.Operations)),
		})
	}
	return c.printTable(rows)
}

func runGet(ctx context.Context, c *client) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	record, err := c.api.GetPolicy(ctx, sdoperatorapi.GetPolicyParams{Service: c.options.service})
	if err != nil {
		return err
	}
	if record.Stale.Or(false) {
		_, _ = fmt.Fprintln(c.stderr, "savorydeal: the platform cannot be read; this is the policy in force at the node")
	}
	if c.jsonOutput() {
		return c.printJSON(record)
	}
	rows := [][]string{{"OPERATION", "METHODS", "PATH", "CLASS", "IDEMPOTENT", "RETRIES", "TIMEOUT"}}
	for _, operation := range record.Policy.Value.Operations {
		rows = append(rows, []string{
			operation.Name, fmt.Sprint(operation.Methods), operation.PathPrefix, operation.Class,
			fmt.Sprint(operation.Idempotent), fmt.Sprint(operation.MaxRetries.Or(0)),
			(time.Duration(operation.TimeoutMs.Or(0)) * time.Millisecond).String(),
		})
	}
	_, _ = fmt.Fprintf(c.stdout, "%s version %d, changed %s\n", record.Service, record.Version, record.ChangedAt.Format(time.RFC3339))
	return c.printTable(rows)
}

func runHistory(ctx context.Context, c *client) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	history, err := c.api.GetPolicyHistory(ctx, sdoperatorapi.GetPolicyHistoryParams{Service: c.options.service})
	if err != nil {
		return err
	}
	if c.jsonOutput() {
		return c.printJSON(history)
	}
	rows := [][]string{{"VERSION", "CHANGED", "CHANGE", "DELETED"}}
	for _, record := range history.Changes {
		rows = append(rows, []string{
			fmt.Sprint(record.Version), record.ChangedAt.Format(time.RFC3339), record.ChangeID, fmt.Sprint(record.Deleted),
		})
	}
	return c.printTable(rows)
}

func runPut(ctx context.Context, c *client) error {
	policy, err := c.readPolicy()
	if err != nil {
		return err
	}
	c.options.service = policy.Service
	if err := c.completeChange(ctx); err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	record, err := c.api.PutPolicy(callCtx, &sdoperatorapi.PolicyChange{
		ExpectedVersion: c.options.expectedVersion,
		ChangeID:        c.options.changeID,
		Policy:          policy,
	}, sdoperatorapi.PutPolicyParams{Service: policy.Service})
	if err != nil {
		return fmt.Errorf("change %s: %w", c.options.changeID, err)
	}
	return c.reportChange(ctx, record)
}

func runDelete(ctx context.Context, c *client) error {
	if err := c.completeChange(ctx); err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	record, err := c.api.DeletePolicy(callCtx, sdoperatorapi.DeletePolicyParams{
		Service:         c.options.service,
		ExpectedVersion: c.options.expectedVersion,
		ChangeID:        c.options.changeID,
	})
	if err != nil {
		return fmt.Errorf("change %s: %w", c.options.changeID, err)
	}
	return c.reportChange(ctx, record)
}

func (c *client) readPolicy() (sdoperatorapi.Policy, error) {
	var policy sdoperatorapi.Policy
	name, input := "standard input", c.stdin
	if c.options.file != "" {
		file, err := os.Open(c.options.file)
		if err != nil {
			return policy, &usageError{text: err.Error()}
		}
		defer file.Close()
		name, input = c.options.file, file
	}
	content, err := io.ReadAll(io.LimitReader(input, maxPolicyBytes+1))
	if err != nil {
		return policy, &usageError{text: fmt.Sprintf("read the policy: %v", err)}
	}
	if len(content) > maxPolicyBytes {
		return policy, &usageError{text: fmt.Sprintf("%s is larger than %d bytes, the limit for a policy", name, maxPolicyBytes)}
	}
	if err := policy.UnmarshalJSON(content); err != nil {
		return policy, &usageError{text: fmt.Sprintf("%s is not a valid policy: %v", name, err)}
	}
	return policy, nil
}

// completeChange fills in arguments that were not given: a new change ID, and the
// newest version as the expected one.
func (c *client) completeChange(ctx context.Context) error {
	if c.options.changeID == "" {
		c.options.changeID = uuid.NewString()
	}
	if c.options.expectedVersion >= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	record, err := c.api.GetPolicy(ctx, sdoperatorapi.GetPolicyParams{Service: c.options.service})
	var problem *sdoperatorapi.ProblemStatusCode
	switch {
	case errors.As(err, &problem) && problem.StatusCode == http.StatusNotFound:
		c.options.expectedVersion = 0
	case err != nil:
		return err
	default:
		c.options.expectedVersion = record.Version
	}
	return nil
}

// reportChange prints an accepted change and waits until it is in force, at most for
// the time of --wait.
func (c *client) reportChange(ctx context.Context, record *sdoperatorapi.PolicyRecord) error {
	_, _ = fmt.Fprintf(c.stderr, "accepted %s version %d (change %s)\n", record.Service, record.Version, record.ChangeID)
	c.options.version = record.Version
	if c.options.wait == 0 {
		return nil
	}
	return runWait(ctx, c)
}

// progressInterval is the time between two progress reports of a wait.
const progressInterval = 500 * time.Millisecond

func runWait(ctx context.Context, c *client) error {
	if c.options.version == 0 {
		if err := c.selectNewestVersion(ctx); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(c.options.wait)
	for {
		wait := min(progressInterval, max(0, time.Until(deadline)))
		inForce, err := c.queryInForce(ctx, wait)
		if err != nil {
			return err
		}
		done := inForce.LaggingCount == 0
		if done || !time.Now().Before(deadline) {
			return c.reportInForce(inForce)
		}
		_, _ = fmt.Fprintf(c.stderr, "in force at %d nodes, %d lagging, %d unreachable\n", inForce.InForce, inForce.LaggingCount, inForce.UnreachableCount)
	}
}

func (c *client) selectNewestVersion(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	record, err := c.api.GetPolicy(ctx, sdoperatorapi.GetPolicyParams{Service: c.options.service})
	if err != nil {
		return err
	}
	c.options.version = record.Version
	return nil
}

// queryInForce returns the number of nodes at which the version is in force, and the
// nodes at which it is not. The call returns once it is in force at all reachable
// nodes, or after the wait.
func (c *client) queryInForce(ctx context.Context, wait time.Duration) (*sdoperatorapi.InForce, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	return c.api.WaitInForce(ctx, sdoperatorapi.WaitInForceParams{
		Service: c.options.service,
		Version: c.options.version,
		WaitMs:  wait.Milliseconds(),
	})
}

func (c *client) reportInForce(inForce *sdoperatorapi.InForce) error {
	if c.jsonOutput() {
		if err := c.printJSON(inForce); err != nil {
			return err
		}
	} else {
		_, _ = fmt.Fprintf(c.stdout, "%s version %d: in force at %d nodes, %d lagging, %d unreachable\n",
			inForce.Service, inForce.Version, inForce.InForce, inForce.LaggingCount, inForce.UnreachableCount)
	}
	if inForce.LaggingCount > 0 {
		return &laggingError{lagging: inForce.LaggingCount}
	}
	return nil
}
