package sdsoak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/savorydeal/savorydeal/internal/sdoperatorapi"
)

const (
	// changeInterval is the time between an operator's changes.
	changeInterval = 300 * time.Millisecond
	changeTimeout  = 3 * time.Second
	// propagationTimeout limits the time until the final changes are in force at
	// all nodes. The documented goal is 4 s on a VM that is not shared.
	propagationTimeout = 20 * time.Second
)

// operators changes policies through random nodes, counts the results and checks
// the versions in force.
type operators struct {
	cluster *cluster
	random  *rand.Rand

	accepted atomic.Int64
	// conflicts counts changes that were refused because the policy no longer had
	// the expected version.
	conflicts atomic.Int64
	// failed counts changes that failed or whose outcome is unknown.
	failed atomic.Int64
	races  atomic.Int64

	mu sync.Mutex
	// changes counts the changes sent.
	changes  int
	findings []Finding
	// newestAccepted holds the newest accepted policy version of each service.
	newestAccepted map[string]int64
}

func newOperators(c *cluster, random *rand.Rand) *operators {
	return &operators{cluster: c, random: random, newestAccepted: make(map[string]int64)}
}

// run changes a random policy every changeInterval until ctx ends.
func (o *operators) run(ctx context.Context) {
	for ctx.Err() == nil {
		entries := o.cluster.entryVMs()
		if len(entries) > 0 {
			policy := policies()[o.random.IntN(len(policies()))]
			o.changePolicy(ctx, entries[o.random.IntN(len(entries))], policy, -1)
		}
		select {
		case <-time.After(changeInterval):
		case <-ctx.Done():
		}
	}
}

// changePolicy replaces a policy on condition that its version is expected. If
// expected is negative, it reads the current version first and expects that one. It
// reports whether the change was accepted.
func (o *operators) changePolicy(ctx context.Context, entry *vm, policy sdoperatorapi.Policy, expected int64) bool {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	node, _ := entry.current()
	if expected < 0 {
		record, err := node.OperatorAPI.GetPolicy(ctx, sdoperatorapi.GetPolicyParams{Service: policy.Service})
		if err != nil {
			o.failed.Add(1)
			return false
		}
		expected = record.Version
	}
	o.mu.Lock()
	o.changes++
	id := fmt.Sprintf("soak-change-%d", o.changes)
	policy.RetryRatio = sdoperatorapi.NewOptFloat64(0.1 + 0.001*float64(o.changes%100))
	o.mu.Unlock()
	record, err := node.OperatorAPI.PutPolicy(ctx, &sdoperatorapi.PolicyChange{
		ExpectedVersion: expected, ChangeID: id, Policy: policy,
	}, sdoperatorapi.PutPolicyParams{Service: policy.Service})
	var problem *sdoperatorapi.ProblemStatusCode
	switch {
	case err == nil:
		o.accepted.Add(1)
		o.recordAccepted(policy.Service, record.Version)
		return true
	case errors.As(err, &problem) && problem.StatusCode == http.StatusConflict:
		o.conflicts.Add(1)
	default:
		o.failed.Add(1)
	}
	return false
}

func (o *operators) recordAccepted(service string, version int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.newestAccepted[service] = max(o.newestAccepted[service], version)
}

// race lets two operators repeatedly change a policy from the same version through
// two nodes until ctx ends. At most one change of each pair may be accepted.
func (o *operators) race(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		entries := o.cluster.entryVMs()
		policy := policies()[random.IntN(len(policies()))]
		first, second := entries[random.IntN(len(entries))], entries[random.IntN(len(entries))]
		node, _ := first.current()
		readCtx, cancel := context.WithTimeout(ctx, changeTimeout)
		record, err := node.OperatorAPI.GetPolicy(readCtx, sdoperatorapi.GetPolicyParams{Service: policy.Service})
		cancel()
		if err == nil {
			o.raceOnce(ctx, first, second, policy, record.Version)
		}
		select {
		case <-time.After(changeInterval):
		case <-ctx.Done():
		}
	}
}

func (o *operators) raceOnce(ctx context.Context, first, second *vm, policy sdoperatorapi.Policy, version int64) {
	var accepted atomic.Int64
	var wait sync.WaitGroup
	for _, entry := range []*vm{first, second} {
		wait.Add(1)
		go func() {
			defer wait.Done()
			if o.changePolicy(ctx, entry, policy, version) {
				accepted.Add(1)
			}
		}()
	}
	wait.Wait()
	o.races.Add(1)
	if accepted.Load() > 1 {
		o.addFinding(FindingConfiguration, fmt.Sprintf("two changes of the policy of %s from version %d were accepted", policy.Service, version))
	}
}

func (o *operators) addFinding(kind FindingKind, detail string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.findings = append(o.findings, Finding{kind, detail})
}

// watchVersions checks until ctx ends that no node returns to an earlier version of
// a policy.
func (o *operators) watchVersions(ctx context.Context) {
	type nodeService struct {
		node    any
		service string
	}
	versions := make(map[nodeService]int64)
	for ctx.Err() == nil {
		for _, v := range o.cluster.vms {
			node, _ := v.current()
			for _, service := range services() {
				record, _ := node.InProcess.Policies().Policy(service)
				id := nodeService{node: node, service: service}
				if record.Version < versions[id] {
					o.addFinding(FindingConfiguration, fmt.Sprintf("policy of %s went back from version %d to %d at node %s", service, versions[id], record.Version, node.Host()))
				}
				versions[id] = record.Version
			}
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// finish makes a final change of each policy and waits until every node has it or
// a newer one in force. It returns the time that the changes and the wait took.
func (o *operators) finish(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, propagationTimeout)
	defer cancel()
	started := time.Now()
	for _, policy := range policies() {
		for !o.changePolicy(ctx, o.cluster.vms[0], policy, -1) && ctx.Err() == nil {
			time.Sleep(changeInterval)
		}
	}
	for ctx.Err() == nil && len(o.laggingNodes()) > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	for _, detail := range o.laggingNodes() {
		o.addFinding(FindingConfiguration, detail)
	}
	return time.Since(started)
}

// laggingNodes describes every policy at a node that is older than the newest
// accepted one.
func (o *operators) laggingNodes() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var details []string
	for _, v := range o.cluster.vms {
		node, _ := v.current()
		for _, service := range services() {
			record, _ := node.InProcess.Policies().Policy(service)
			if record.Version < o.newestAccepted[service] {
				details = append(details, fmt.Sprintf("node %s has version %d of the policy of %s in force, the newest accepted one is %d", node.Host(), record.Version, service, o.newestAccepted[service]))
			}
		}
	}
	return details
}
