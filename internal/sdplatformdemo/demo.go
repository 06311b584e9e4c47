// Package sdplatformdemo demonstrates nodes on the users' platform. It runs nodes
// as processes on loopback under a low load, changes the configuration, lets a
// target leave and stops a node gracefully, and compares the answers to callers
// with the targets' ledger.
package sdplatformdemo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdbench"
	"github.com/savorydeal/savorydeal/internal/sdcluster"
	"github.com/savorydeal/savorydeal/internal/sdstandapp"
)

const (
	readyTimeout = 30 * time.Second
	// loadTime is the time for which requests are sent.
	loadTime = 6 * time.Second
	// requestInterval is the time between two requests of one stream, and between
	// two checks of a new configuration.
	requestInterval = 15 * time.Millisecond
	// streams is the number of goroutines that send requests.
	streams = 4
	// changeTime, leaveTime and stopTime are the earliest times, after the start of
	// the load, at which the configuration changes, a target leaves and a node
	// stops. The latter two wait until the configuration is in force.
	changeTime = time.Second
	leaveTime  = 1500 * time.Millisecond
	stopTime   = 2 * time.Second
	// drainTime is the bound of the cluster's nodes for requests that are on their way to
	// a target when it announces that it leaves.
	drainTime = 2 * time.Second
	// configTimeout is the platform's limit for the time from a change of the
	// configuration until it is in force at every node.
	configTimeout = 2 * time.Second
)

// Plan returns the data centres, services and configuration of the demonstration.
func Plan() sdcluster.Plan {
	route := func(name string, kind savorydeal.RouteKind, service string, priority int) sdcluster.Route {
		return sdcluster.Route{
			Name: name, Prefix: "/" + name + "/", Kind: kind, Service: service, Timeout: 2 * time.Second, Priority: priority, MaxTargets: 2,
		}
	}
	return sdcluster.Plan{
		DataCentres: []string{"east", "west"},
		Services: []sdcluster.Service{
			{Name: "desk", Slots: 30, ServiceTime: 10 * time.Millisecond, Targets: 2},
			{Name: "archive", Slots: 20, ServiceTime: 5 * time.Millisecond, Targets: 1},
		},
		Config: sdcluster.Config{Version: 7, Routes: []sdcluster.Route{
			route("lookup", savorydeal.RouteIdempotent, "desk", 2), route("close", savorydeal.RouteNonIdempotent, "desk", 0), route("index", savorydeal.RouteIdempotent, "archive", 2),
		}},
		Calls: map[string][]sdstandapp.OnwardCall{"/lookup/": {{Host: sdcluster.Host, Path: "/index/1"}, {Host: sdcluster.Host, Path: "/index/2"}}},
		Grace: 5 * time.Second,
	}
}

// Run runs the demonstration with this program's "sidecar" subcommand as the node.
func Run(options sdbench.Options) error {
	program, err := os.Executable()
	if err != nil {
		return fmt.Errorf("path of this program: %w", err)
	}
	return RunWithProgram(options.Out, program, "sidecar")
}

// RunWithProgram runs the demonstration. Program and arguments are the command
// that starts a node. If it fails, the nodes' logs are kept in a temporary folder.
func RunWithProgram(out io.Writer, program string, arguments ...string) error {
	folder, err := os.MkdirTemp("", "savorydeal-demo-")
	if err != nil {
		return err
	}
	cluster, err := sdcluster.Start(Plan(), folder, hclog.NewNullLogger())
	if err != nil {
		return err
	}
	defer cluster.Close()
	d := &demo{cluster: cluster, out: out, sentAt: make(map[string]time.Time), answers: make(map[string]sdcluster.Answer)}
	defer d.killAll()
	for _, vm := range cluster.VMs {
		process, err := vm.StartProcess(program, arguments...)
		if err != nil {
			return err
		}
		d.processes = append(d.processes, process)
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	start := time.Now()
	if err := cluster.WaitReady(ctx); err != nil {
		return fmt.Errorf("%w; the nodes' logs are in %s", err, folder)
	}
	d.printLine("all %d nodes in %d data centres were ready after %v", len(cluster.VMs), len(cluster.Plan.DataCentres), time.Since(start).Round(time.Millisecond))
	if err := d.run(ctx); err != nil {
		return fmt.Errorf("%w; the nodes' logs are in %s", err, folder)
	}
	return os.RemoveAll(folder)
}

// demo is the state of one run of the demonstration. The mutex guards the maps, by
// request ID.
type demo struct {
	cluster   *sdcluster.Cluster
	processes []*sdcluster.Process
	out       io.Writer
	mu        sync.Mutex
	sentAt    map[string]time.Time
	answers   map[string]sdcluster.Answer
}

func (d *demo) printLine(format string, values ...any) {
	_, _ = fmt.Fprintf(d.out, format+"\n", values...)
}

func (d *demo) killAll() {
	for _, process := range d.processes {
		process.Kill()
	}
}

func (d *demo) run(ctx context.Context) error {
	var group sync.WaitGroup
	end := time.Now().Add(loadTime)
	for stream := range streams {
		group.Go(func() { d.send(ctx, stream, end) })
	}
	time.Sleep(changeTime)
	applied, err := d.changeConfig(ctx)
	if err != nil {
		return err
	}
	time.Sleep(leaveTime - changeTime)
	leaving := d.cluster.VMs[0]
	if err := leaving.App.Leave(ctx); err != nil {
		return err
	}
	leftAt := time.Now()
	time.Sleep(stopTime - leaveTime)
	last := len(d.processes) - 1
	if err := d.processes[last].Stop(); err != nil {
		return fmt.Errorf("graceful stop of the last node: %w", err)
	}
	d.processes = d.processes[:last]
	group.Wait()
	d.printLine("a new route was in force at every node after %v", applied.Round(time.Millisecond))
	return d.check("i-"+leaving.Name, leftAt)
}

func (d *demo) send(ctx context.Context, stream int, end time.Time) {
	var group sync.WaitGroup
	defer group.Wait()
	for i := 0; time.Now().Before(end); i++ {
		id := fmt.Sprintf("d%d-%d", stream, i)
		path := "/lookup/"
		if i%3 == 0 {
			path = "/close/"
		}
		vm := d.cluster.VMs[(stream+i)%len(d.cluster.VMs)]
		// The last node stops during the load; callers stop using a node that is not ready.
		if vm == d.cluster.VMs[len(d.cluster.VMs)-1] && !vm.Ready(ctx) {
			continue
		}
		d.mu.Lock()
		d.sentAt[id] = time.Now()
		d.mu.Unlock()
		group.Go(func() {
			answer := d.cluster.Do(ctx, vm, sdcluster.Request{ID: id, Path: path + id})
			d.mu.Lock()
			d.answers[id] = answer
			d.mu.Unlock()
		})
		time.Sleep(requestInterval)
	}
}

// changeConfig adds a route and returns the time until it was in force at every
// node.
func (d *demo) changeConfig(ctx context.Context) (time.Duration, error) {
	changed := d.cluster.Plan.Config
	changed.Version = 30
	changed.Routes = append([]sdcluster.Route{{
		Name: "new", Prefix: "/new/", Kind: savorydeal.RouteIdempotent, Service: "archive", Timeout: time.Second, Priority: 1, MaxTargets: 2,
	}}, changed.Routes...)
	if err := d.cluster.SetConfig(changed); err != nil {
		return 0, err
	}
	start := time.Now()
	for i, vm := range d.cluster.VMs {
		for attempt := 0; ; attempt++ {
			if d.cluster.Do(ctx, vm, sdcluster.Request{ID: fmt.Sprintf("n%d-%d", i, attempt), Path: "/new/1"}).Status == http.StatusOK {
				break
			}
			if time.Since(start) > configTimeout {
				return 0, fmt.Errorf("configuration not in force at %s within %v", vm.Name, configTimeout)
			}
			time.Sleep(requestInterval)
		}
	}
	return time.Since(start), nil
}

// startedTooLate reports whether a run on a target is one that the announcement at leftAt
// rules out. A request that its caller sent before may have been on its way to the target.
func (d *demo) startedTooLate(run sdstandapp.Run, leftAt time.Time) bool {
	request, _, _ := strings.Cut(run.ID, ".") // a call that a run makes has the run's ID, a dot and more
	if d.sentAt[request].After(leftAt) {
		return run.Started.After(leftAt)
	}
	return run.Started.After(leftAt.Add(drainTime))
}

// check compares the answers to callers with the runs in the targets' ledger. The
// target named leaving announced at leftAt that it leaves.
func (d *demo) check(leaving string, leftAt time.Time) error {
	runs := make(map[string]int)
	var failures []error
	for _, run := range d.cluster.Ledger.Runs() {
		runs[run.ID]++
		if run.Target == leaving && d.startedTooLate(run, leftAt) {
			failures = append(failures, fmt.Errorf("request %s, sent %v after a target had announced that it leaves, started there %v after that",
				run.ID, d.sentAt[run.ID].Sub(leftAt), run.Started.Sub(leftAt)))
		}
	}
	statuses := make(map[int]int)
	for id, answer := range d.answers {
		statuses[answer.Status]++
		switch {
		case answer.Err != nil:
			failures = append(failures, fmt.Errorf("request %s has no complete answer: %w", id, answer.Err))
		case answer.Status == http.StatusOK && answer.Body != "answer to "+id:
			failures = append(failures, fmt.Errorf("request %s has an unexpected answer: %q", id, answer.Body))
		case answer.Status == http.StatusServiceUnavailable && runs[id] > 0:
			failures = append(failures, fmt.Errorf("request %s was refused as not run, but ran", id))
		}
		if runs[id] > 1 {
			failures = append(failures, fmt.Errorf("request %s ran %d times, want at most 1", id, runs[id]))
		}
	}
	d.printLine("%d requests, answers by status: %v", len(d.answers), statuses)
	if len(failures) == 0 {
		d.printLine("every answer was complete, no request ran twice, none that ran was refused as not run, and none started on the target that had left")
	}
	return errors.Join(failures...)
}
