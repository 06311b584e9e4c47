package sdbenchfleet

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdoperatorapi"
	"github.com/savorydeal/savorydeal/internal/sdrig"
	"github.com/savorydeal/savorydeal/internal/sdsettings"
	"github.com/savorydeal/savorydeal/internal/sdstandcaller"
	"github.com/savorydeal/savorydeal/internal/sdstandtarget"
)

const (
	service      = "orders"
	slots        = 40
	connections  = 200
	serviceTime  = 5 * time.Millisecond
	sendInterval = 50 * time.Millisecond
	pollInterval = 50 * time.Millisecond
	// pollers is the number of nodes that are polled at the same time.
	pollers     = 16
	dataCentres = 3
)

// cluster runs node processes, some of them with targets, and sends requests through
// the first nodes.
type cluster struct {
	size    int
	rig     *sdrig.Rig
	nodes   []*sdrig.Node
	targets []*sdstandtarget.Target
	// stopped holds the nodes that a phase has stopped or killed.
	stopped   map[*sdrig.Node]bool
	result    clusterResult
	startedAt time.Time

	stopTraffic context.CancelFunc
	traffic     sync.WaitGroup
	requests    atomic.Int64
	// cutRequests counts the requests that got no complete answer.
	cutRequests atomic.Int64
}

func (c *cluster) close() {
	if c.stopTraffic != nil {
		c.stopTraffic()
		c.traffic.Wait()
	}
	for _, target := range c.targets {
		target.Stop()
	}
	if c.rig != nil {
		c.rig.Close()
	}
}

// start starts all nodes and waits until each sees all of them alive.
func (c *cluster) start(ctx context.Context) error {
	var err error
	if c.rig, err = sdrig.New(sdrig.DiscardLogger()); err != nil {
		return err
	}
	c.result.nodes = c.size
	c.startedAt = time.Now()
	c.stopped = make(map[*sdrig.Node]bool)
	var meetingPoints []string
	for i := range c.size {
		node, err := c.rig.StartNode(sdrig.NodeSpec{
			DataCentre: fmt.Sprintf("dc%d", i%dataCentres+1), Region: "r1", Process: true,
			Edit: func(settings *sdsettings.Settings) {
				settings.TestLoss = datagramLoss
				if i < 2 {
					meetingPoints = append(meetingPoints, settings.PeerAddress)
				}
				settings.MeetingPoints = meetingPoints
			},
		})
		if err != nil {
			return err
		}
		c.nodes = append(c.nodes, node)
	}
	nodesStarted := time.Now()
	for _, node := range c.nodes {
		if err := node.WaitReady(ctx); err != nil {
			return err
		}
	}
	err = c.waitForNodes(ctx, func(node *sdrig.Node) bool {
		status, err := node.OperatorAPI.GetStatus(ctx)
		return err == nil && status.NodesAlive == c.size
	})
	c.result.joinTime = time.Since(nodesStarted)
	return err
}

// waitForNodes waits until the condition has been true once for each running node.
func (c *cluster) waitForNodes(ctx context.Context, condition func(*sdrig.Node) bool) error {
	queue := make(chan *sdrig.Node, len(c.nodes))
	for _, node := range c.nodes {
		if !c.stopped[node] {
			queue <- node
		}
	}
	close(queue)
	var pending sync.WaitGroup
	var lastErr atomic.Pointer[error]
	for range pollers {
		pending.Add(1)
		go func() {
			defer pending.Done()
			for node := range queue {
				if err := waitFor(ctx, func() bool { return condition(node) }); err != nil {
					err = fmt.Errorf("node %s: %w", node.Host(), err)
					lastErr.Store(&err)
				}
			}
		}()
	}
	pending.Wait()
	if err := lastErr.Load(); err != nil {
		return *err
	}
	return nil
}

// waitFor polls a condition until it is true.
func waitFor(ctx context.Context, condition func() bool) error {
	for !condition() {
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// startTargets starts targets beside the last nodes and begins to send requests
// through the first nodes.
func (c *cluster) startTargets(ctx context.Context) error {
	policy := sdoperatorapi.Policy{Service: service, Operations: []sdoperatorapi.Operation{{
		Name: "look_up", Methods: []string{http.MethodGet}, PathPrefix: "/", Class: "normal", Idempotent: true,
		MaxRetries: sdoperatorapi.NewOptInt(2),
	}}, RetryRatio: sdoperatorapi.NewOptFloat64(1)}
	if _, err := c.rig.PutPolicy(ctx, c.nodes[0], policy, 0, "bench-fleet-0"); err != nil {
		return err
	}
	for i := range targetCount {
		target, err := c.rig.StartTarget(c.nodes[c.size-1-i], sdstandtarget.Options{
			Service: service, Slots: slots, Connections: connections, ServiceTime: serviceTime,
		})
		if err != nil {
			return err
		}
		c.targets = append(c.targets, target)
	}
	for i := range entryNodeCount {
		caller := sdstandcaller.New(c.nodes[i].Settings.CallerAddress, slots)
		if err := waitFor(ctx, func() bool { return caller.Send(ctx, lookup()).Complete() }); err != nil {
			return fmt.Errorf("wait for the first complete answer: %w", err)
		}
		caller.Close()
	}
	trafficCtx, cancel := context.WithCancel(context.Background())
	c.stopTraffic = cancel
	for i := range entryNodeCount {
		c.traffic.Add(1)
		go c.sendRequests(trafficCtx, c.nodes[i])
	}
	return nil
}

func lookup() sdstandcaller.Request {
	return sdstandcaller.Request{Service: service, Method: http.MethodGet, Path: "/stock/7", Caller: "stall-7"}
}

// sendRequests sends requests through a node until ctx ends and counts those without
// a complete answer.
func (c *cluster) sendRequests(ctx context.Context, node *sdrig.Node) {
	defer c.traffic.Done()
	caller := sdstandcaller.New(node.Settings.CallerAddress, slots)
	defer caller.Close()
	for ctx.Err() == nil {
		result := caller.Send(ctx, lookup())
		if ctx.Err() != nil {
			return
		}
		c.requests.Add(1)
		if !result.Complete() {
			c.cutRequests.Add(1)
		}
		time.Sleep(sendInterval)
	}
}

// readMetrics reads the metrics of a node, by name without the prefix savorydeal_.
// Labels stay part of the name.
func readMetrics(ctx context.Context, node *sdrig.Node) (map[string]float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.Settings.AdminAddress+"/metrics", nil)
	if err != nil {
		return nil, fmt.Errorf("read metrics: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("read metrics: %w", err)
	}
	defer response.Body.Close()
	values := make(map[string]float64)
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, text, ok := strings.Cut(lines.Text(), " ")
		if value, err := strconv.ParseFloat(text, 64); ok && err == nil {
			values[strings.TrimPrefix(name, "savorydeal_")] = value
		}
	}
	return values, lines.Err()
}

// sumMetric returns the sum of a metric over all running nodes.
func (c *cluster) sumMetric(ctx context.Context, name string) (int, error) {
	total := 0.0
	for _, node := range c.nodes {
		if c.stopped[node] {
			continue
		}
		values, err := readMetrics(ctx, node)
		if err != nil {
			return 0, err
		}
		total += values[name]
	}
	return int(total), nil
}

// appliedAt returns when a node applied a version of the service's policy or a later
// one, and false if it has not yet.
func appliedAt(ctx context.Context, node *sdrig.Node, service string, version int64) (time.Time, bool) {
	dump, err := node.OperatorAPI.GetDump(ctx)
	if err != nil {
		return time.Time{}, false
	}
	var policies []struct {
		Service        string    `json:"service"`
		InForceVersion int64     `json:"in_force_version"`
		AppliedAt      time.Time `json:"taken_at"`
	}
	if json.Unmarshal(dump["policies"], &policies) != nil {
		return time.Time{}, false
	}
	for _, policy := range policies {
		if policy.Service == service && policy.InForceVersion >= version {
			return policy.AppliedAt, true
		}
	}
	return time.Time{}, false
}

// memberView is the state of a member as another node sees it, and whether that node
// has a lease for the member.
type memberView struct {
	state       string
	targetState string
	hasLease    bool
}

// readView reads a node's view of a member. A member that the node does not list
// counts as dead. The second result is false if the view could not be read.
func readView(ctx context.Context, node *sdrig.Node, member string) (memberView, bool) {
	dump, err := node.OperatorAPI.GetDump(ctx)
	if err != nil {
		return memberView{}, false
	}
	var members []struct {
		Node        string `json:"node"`
		State       string `json:"state"`
		TargetState string `json:"target_state"`
	}
	var leases []string
	if json.Unmarshal(dump["members"], &members) != nil || json.Unmarshal(dump["leases"], &leases) != nil {
		return memberView{}, false
	}
	view := memberView{state: string(savorydeal.MemberDead)}
	for _, entry := range members {
		if entry.Node == member {
			view.state = entry.State
			view.targetState = entry.TargetState
		}
	}
	for _, lease := range leases {
		name, remaining, _ := strings.Cut(lease, " ")
		view.hasLease = view.hasLease || name == member && !strings.HasPrefix(remaining, "-") && remaining != "0.0s"
	}
	return view, true
}
