package sdcli

import (
	"context"
	"fmt"

	"github.com/savorydeal/savorydeal/internal/sdoperatorapi"
)

// runPolicyStatus prints at how many nodes the newest version of each policy is in
// force. It sends one request for each policy, and the node queries a fixed number of
// collectors for it.
func runPolicyStatus(ctx context.Context, c *client) error {
	records, err := c.policiesToReport(ctx)
	if err != nil {
		return err
	}
	rows := [][]string{{"SERVICE", "VERSION", "IN FORCE", "LAGGING", "UNREACHABLE"}}
	lagging := 0
	for _, record := range records {
		c.options.service = record.Service
		c.options.version = record.Version
		inForce, err := c.queryInForce(ctx, 0)
		if err != nil {
			return fmt.Errorf("status of %s: %w", record.Service, err)
		}
		lagging += inForce.LaggingCount
		if c.jsonOutput() {
			if err := c.printJSON(inForce); err != nil {
				return err
			}
			continue
		}
		rows = append(rows, []string{
			record.Service, fmt.Sprint(record.Version), fmt.Sprint(inForce.InForce),
			fmt.Sprint(inForce.LaggingCount), fmt.Sprint(inForce.UnreachableCount),
		})
	}
	if !c.jsonOutput() {
		if err := c.printTable(rows); err != nil {
			return err
		}
	}
	if lagging > 0 {
		return &laggingError{lagging: lagging}
	}
	return nil
}

// policiesToReport returns the policy of the given service as stored in the platform,
// or all policies in force at the node if no service is given.
func (c *client) policiesToReport(ctx context.Context) ([]sdoperatorapi.PolicyRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if c.options.service == "" {
		list, err := c.api.ListPolicies(ctx)
		if err != nil {
			return nil, err
		}
		return list.Policies, nil
	}
	record, err := c.api.GetPolicy(ctx, sdoperatorapi.GetPolicyParams{Service: c.options.service})
	if err != nil {
		return nil, err
	}
	return []sdoperatorapi.PolicyRecord{*record}, nil
}
