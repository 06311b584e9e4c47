// Package sddemo demonstrates calls through nodes: it starts two data centres with
// three services that call each other, puts policies in force, sends calls with
// and without keys, among them calls that are refused, and prints a state dump.
package sddemo

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdbench"
	"github.com/savorydeal/savorydeal/internal/sdcommand"
	"github.com/savorydeal/savorydeal/internal/sdoperatorapi"
	"github.com/savorydeal/savorydeal/internal/sdrig"
	"github.com/savorydeal/savorydeal/internal/sdstandcaller"
	"github.com/savorydeal/savorydeal/internal/sdstandtarget"
)

const (
	timeout     = 40 * time.Second
	serviceTime = 5 * time.Millisecond
	inForceWait = 4 * time.Second
	slots       = 8
	connections = 32
)

// chainService is one service of the chain and the downstream service it calls.
type chainService struct {
	name  string
	calls []sdstandtarget.OnwardCall
}

func chainServices() []chainService {
	return []chainService{
		{"review-decision", []sdstandtarget.OnwardCall{{Service: "limit-change", Method: http.MethodPost, Path: "/limits/7"}}},
		{"limit-change", []sdstandtarget.OnwardCall{{Service: "limit-lookup", Method: http.MethodGet, Path: "/limits/7"}}},
		{"limit-lookup", nil},
	}
}

// Run runs the demonstration.
func Run(options sdbench.Options) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	d := &demo{options: options}
	defer d.close()
	for _, step := range []func(context.Context) error{
		d.startAll, d.putPolicies, d.sendCalls, d.printDump, d.stopAll,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// demo holds the nodes and targets of the demonstration.
type demo struct {
	options sdbench.Options
	rig     *sdrig.Rig
	nodes   []*sdrig.Node
	targets []*sdstandtarget.Target
}

func (d *demo) printLine(format string, values ...any) {
	_, _ = fmt.Fprintf(d.options.Out, format+"\n", values...)
}

func (d *demo) startAll(ctx context.Context) error {
	rig, err := sdrig.New(sdcommand.NewLogger("demo", "warn", os.Stderr))
	if err != nil {
		return err
	}
	d.rig = rig
	d.printLine("stand-in platform at %s", rig.PlatformURL)
	for _, dataCentre := range []string{"ub-1", "ub-2"} {
		for _, service := range chainServices() {
			if err := d.startVM(ctx, dataCentre, service); err != nil {
				return err
			}
		}
	}
	return d.waitForTargets(ctx)
}

// waitForTargets waits until every node lists all targets as ready.
func (d *demo) waitForTargets(ctx context.Context) error {
	for _, node := range d.nodes {
		err := sdrig.WaitUntil(ctx, func() bool { return readyTargets(ctx, node) == len(d.nodes) })
		if err != nil {
			return fmt.Errorf("wait for targets at %s: %w", node.Host(), err)
		}
	}
	d.printLine("every node lists %d ready targets", len(d.nodes))
	return nil
}

func readyTargets(ctx context.Context, node *sdrig.Node) int {
	list, err := node.OperatorAPI.ListNodes(ctx)
	if err != nil {
		return 0
	}
	ready := 0
	for _, member := range list.Nodes {
		if member.TargetState.Or("") == string(savorydeal.TargetReady) {
			ready++
		}
	}
	return ready
}

func (d *demo) startVM(ctx context.Context, dataCentre string, service chainService) error {
	node, err := d.rig.StartNode(sdrig.NodeSpec{DataCentre: dataCentre, Region: "ub", Process: true})
	if err != nil {
		return err
	}
	d.nodes = append(d.nodes, node)
	if err := node.WaitReady(ctx); err != nil {
		return err
	}
	target, err := d.rig.StartTarget(node, sdstandtarget.Options{
		Service: service.name, Slots: slots, Connections: connections, ServiceTime: serviceTime, OnwardCalls: service.calls,
	})
	if err != nil {
		return err
	}
	d.targets = append(d.targets, target)
	d.printLine("node %s in %s, target %s", node.Host(), dataCentre, service.name)
	return nil
}

func policies() []sdoperatorapi.Policy {
	return []sdoperatorapi.Policy{
		{Service: "review-decision", Operations: []sdoperatorapi.Operation{
			{Name: "sign_off", Methods: []string{"POST"}, PathPrefix: "/reviews", Class: "critical"},
			{Name: "list", Methods: []string{"GET"}, PathPrefix: "/reviews", Class: "normal", Idempotent: true},
		}},
		{Service: "limit-change", Operations: []sdoperatorapi.Operation{
			{Name: "raise", Methods: []string{"POST"}, PathPrefix: "/limits", Class: "high"},
		}},
		{Service: "limit-lookup", Operations: []sdoperatorapi.Operation{
			{Name: "look_up", Methods: []string{"GET"}, PathPrefix: "/limits", Class: "normal", Idempotent: true},
		}},
	}
}

func (d *demo) putPolicies(ctx context.Context) error {
	for i, policy := range policies() {
		version, err := d.rig.PutPolicy(ctx, d.nodes[0], policy, 0, fmt.Sprintf("demo-change-%d", i))
		if err != nil {
			return err
		}
		result, err := d.nodes[0].OperatorAPI.WaitInForce(ctx, sdoperatorapi.WaitInForceParams{
			Service: policy.Service, Version: version, WaitMs: inForceWait.Milliseconds(),
		})
		if err != nil {
			return fmt.Errorf("wait for policy %s: %w", policy.Service, err)
		}
		d.printLine("policy %s version %d in force at %d nodes, %d lagging", policy.Service, version, result.InForce, len(result.Lagging))
	}
	return nil
}

func (d *demo) sendCalls(ctx context.Context) error {
	caller := sdstandcaller.New(d.nodes[2].Settings.CallerAddress, 1)
	defer caller.Close()
	signOff := sdstandcaller.Request{
		LedgerID: "request-1", Service: "review-decision", Method: "POST", Path: "/reviews/41", Key: "sign-off-41",
		Caller: "branch-7", Body: "approved",
	}
	d.printResult("a sign-off with a key, through three services", caller.Send(ctx, signOff))
	d.printResult("the same key again, answered from the stored answer", caller.Send(ctx, signOff))
	otherBody := signOff
	otherBody.Body = "declined"
	d.printResult("the same key with another body", caller.Send(ctx, otherBody))
	keyless := signOff
	keyless.Key = ""
	d.printResult("a sign-off without a key", caller.Send(ctx, keyless))
	d.printResult("a look-up without a key", caller.Send(ctx, d.lookUp()))
	unknownService := d.lookUp()
	unknownService.Service = "no-such-service"
	d.printResult("a service without a policy", caller.Send(ctx, unknownService))
	runs := 0
	for _, target := range d.targets {
		if target.Options().Service == "review-decision" {
			runs += target.Ledger.RunCount("request-1")
		}
	}
	d.printLine("\nruns of the sign-off in the targets' ledgers: %d", runs)
	if runs != 1 {
		return fmt.Errorf("the sign-off ran %d times, want 1", runs)
	}
	return nil
}

func (d *demo) lookUp() sdstandcaller.Request {
	return sdstandcaller.Request{
		LedgerID: "look-up", Service: "limit-lookup", Method: "GET", Path: "/limits/7", Caller: "branch-7",
	}
}

func (d *demo) printResult(title string, result sdstandcaller.Result) {
	d.printLine("\n%s", title)
	if result.Err != nil {
		d.printLine("  error: %v", result.Err)
		return
	}
	d.printLine("  %d %s, outcome %s %s, %v", result.Status, http.StatusText(result.Status), result.Outcome, result.Reason,
		result.Latency.Round(time.Microsecond))
	d.printLine("  %s", result.Body)
}

func (d *demo) printDump(ctx context.Context) error {
	dump, err := d.nodes[0].OperatorAPI.GetDump(ctx)
	if err != nil {
		return fmt.Errorf("state dump: %w", err)
	}
	d.printLine("\ntwo sections of the state dump of %s", d.nodes[0].Host())
	for _, name := range []string{"target", "traffic"} {
		d.printLine("  %s: %s", name, dump[name])
	}
	return nil
}

func (d *demo) stopAll(context.Context) error {
	for _, node := range d.nodes {
		if err := node.Stop(); err != nil {
			return fmt.Errorf("stop node %s: %w", node.Host(), err)
		}
	}
	d.printLine("\nall %d nodes stopped without an error", len(d.nodes))
	return nil
}

func (d *demo) close() {
	for _, target := range d.targets {
		target.Stop()
	}
	if d.rig != nil {
		d.rig.Close()
	}
}
