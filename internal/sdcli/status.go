package sdcli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

func runStatus(ctx context.Context, c *client) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, err := c.api.GetStatus(ctx)
	if err != nil {
		return err
	}
	if c.jsonOutput() {
		return c.printJSON(status)
	}
	return c.printTable([][]string{
		{"node", status.Node},
		{"data centre", status.DataCentre},
		{"region", status.Region},
		{"version", status.Version},
		{"target", status.TargetState + " " + status.Service.Or("")},
		{"nodes alive", fmt.Sprint(status.NodesAlive)},
		{"policies", fmt.Sprint(status.Policies)},
		{"policies rejected", fmt.Sprint(status.PoliciesRejected.Or(0))},
		{"platform reachable", fmt.Sprint(status.PlatformReachable.Or(false))},
	})
}

func runNodes(ctx context.Context, c *client) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := c.api.ListNodes(ctx)
	if err != nil {
		return err
	}
	if c.jsonOutput() {
		return c.printJSON(list)
	}
	rows := [][]string{{"NODE", "STATE", "SERVICE", "TARGET", "DATA CENTRE", "REGION"}}
	for _, node := range list.Nodes {
		rows = append(rows, []string{
			node.Node, node.State, node.Service.Or(""), node.TargetState.Or(""), node.DataCentre, node.Region,
		})
	}
	return c.printTable(rows)
}

func runDump(ctx context.Context, c *client) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	dump, err := c.api.GetDump(ctx)
	if err != nil {
		return err
	}
	return c.printJSON(dump)
}

func (c *client) printTable(rows [][]string) error {
	w := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return fmt.Errorf("print: %w", err)
		}
	}
	return w.Flush()
}

func (c *client) printJSON(value json.Marshaler) error {
	encoded, err := value.MarshalJSON()
	if err != nil {
		return fmt.Errorf("print: %w", err)
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, encoded, "", "  "); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	_, err = fmt.Fprintln(c.stdout, indented.String())
	return err
}
