package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/savorydeal/savorydeal/internal/sdstandstore"
)

// Ports of every machine; the machines have addresses of their own.
const (
	portStore    = 20200
	portApp      = 20201
	portReady    = 20202
	portInbound  = 20203
	portOutbound = 20204
	portControl  = 20206
	portPeers    = 20220
	portPeersEnd = 20235
	portMetrics  = 9464
)

// Bounds of the settings; those of a small deployment.
const (
	drainTime    = 2 * time.Second
	stableWindow = 3 * time.Second
	configApply  = 2 * time.Second
	beatInterval = 1500 * time.Millisecond
	memoryMB     = 284
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = 200 * time.Millisecond
)

const host = "hulo84.example"

// record writes the lines of record.txt. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// machine is one machine with its application and its node.
type machine struct {
	world         *world
	name, ip      string
	zone, service string
	app           *app

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	started time.Time
	first   bool
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// world is a small deployment on loopback.
type world struct {
	record   *record
	folder   string
	network  string
	program  []string
	store    *sdstandstore.Store
	server   *http.Server
	machines []*machine
}

// newWorld reserves a loopback network and starts the platform's store.
func newWorld(rec *record, program []string) (*world, error) {
	folder, err := os.MkdirTemp("", "savorydeal-review-")
	if err != nil {
		return nil, err
	}
	w := &world{record: rec, folder: folder, program: program, store: sdstandstore.New()}
	var listener net.Listener
	for range 20 {
		w.network = fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), rand.IntN(250))
		if listener, err = net.Listen("tcp", fmt.Sprintf("%s250:%d", w.network, portStore)); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: w.store}
	go func() { _ = w.server.Serve(listener) }()
	return w, nil
}

// route is one route of a config.
type route struct {
	name, prefix, kind, service string
	timeoutS                    float64
	priority                    int
}

// setConfig writes a config as the operator does. Services are those of the machines.
func (w *world) setConfig(version int, routes []route) error {
	seen := make(map[string]bool)
	var services, paths []map[string]any
	for _, m := range w.machines {
		if !seen[m.service] {
			seen[m.service] = true
			services = append(services, map[string]any{"name": m.service, "healthPath": "/health", "maxConnections": 928, "protocol": "h1", "tls": false})
		}
	}
	for _, r := range routes {
		paths = append(paths, map[string]any{
			"name": r.name, "pathPrefix": r.prefix, "kind": r.kind, "service": r.service, "timeoutS": r.timeoutS,
			"targetLatencyS": r.timeoutS / 2, "priority": r.priority, "maxAttempts": 2,
		})
	}
	text, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version), "services": services,
		"limits":       map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"virtualHosts": []any{map[string]any{"host": host, "routePaths": paths}},
	})
	if err != nil {
		return err
	}
	w.store.Set("config", "main", text)
	w.record.add("operator: config %08x acknowledged by the store", version)
	return nil
}

// addMachine adds a machine and starts its application.
func (w *world) addMachine(zone, service string, behaviour behaviour) (*machine, error) {
	number := len(w.machines) + 1
	m := &machine{
		world: w, name: fmt.Sprintf("sidecar-%s-%d", zone, number), ip: fmt.Sprintf("%s%d", w.network, number),
		zone: zone, service: service, first: true,
	}
	var err error
	if m.app, err = startApp(m, behaviour); err != nil {
		return nil, err
	}
	w.machines = append(w.machines, m)
	return m, nil
}

func (m *machine) writeSettings(path string) error {
	text, err := json.MarshalIndent(map[string]any{
		"nodeId": m.name, "role": "node", "machineClass": "sidecar", "serves": []string{"sidecar"}, "ip": m.ip, "zone": m.zone,
		"region": "bengal", "zones": map[string]string{"howrah": "bengal", "kolkata": "bengal", "hooghly": "bengal"},
		"listenAddrs": map[string]string{
			"inbound": m.address(portInbound), "outbound": m.address(portOutbound), "ready": m.address(portReady), "control": m.address(portControl),
		},
		"internalPortRange": []int{portPeers, portPeersEnd}, "seedNodes": []string{}, "bootstrap": m.first, "faultCounted": false,
		"limits":  map[string]any{"cpuShare": 0.64, "cpuCores": 1, "memoryMb": memoryMB, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "static", "entry": "static", "heartbeatS": beatInterval.Seconds(),
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "pressure", "platform"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "addrReuseS": 2, "stableWindowS": stableWindow.Seconds(), "ackS": 4, "catchUpS": 4, "drainS": drainTime.Seconds(), "graceS": 6,
			"lossSlackS": 0.2, "configApplyS": configApply.Seconds(), "rollbackSlackS": 0.25, "maxStretchS": 5, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
			"budgetMinRetries": 47, "recoveryS": 15,
		},
		"appAddr": m.address(portApp), "service": m.service,
		"platform": map[string]any{
			"address": fmt.Sprintf("%s250:%d", m.world.network, portStore), "form": "objects", "writesPerS": 400, "readsPerS": 2000,
			"historyS": 20, "valueBytes": 1048576, "ttlMinS": 1,
		},
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// startNode starts the machine's node with the command of the deploy file.
func (m *machine) startNode() error {
	path := filepath.Join(m.world.folder, m.name+".json")
	if err := m.writeSettings(path); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(m.world.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	process := exec.Command(m.world.program[0], m.world.program[1:]...)
	process.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SAVORYDEAL_CONFIG=" + path, "SAVORYDEAL_METRICS_PORT=" + strconv.Itoa(portMetrics),
	}
	process.Stdout, process.Stderr = output, output
	// The process ends with this one, whatever happens to it.
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	m.mu.Lock()
	m.process, m.exited, m.started, m.first = process, exited, time.Now(), false
	m.mu.Unlock()
	m.world.record.add("platform: node of %s started", m.name)
	return nil
}

// signal sends a signal to the machine's node.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		_ = m.process.Process.Signal(s)
		m.world.record.add("platform: signal %v to the node of %s", s, m.name)
	}
}

// kill kills the machine's node and waits until it has ended.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	exited := m.exited
	m.process = nil
	m.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// restart kills the machine's node and starts it again.
func (m *machine) restart() error {
	m.kill()
	time.Sleep(restartDelay)
	return m.startNode()
}

// startedAt returns when the present process of the node was started.
func (m *machine) startedAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.started
}

// residentMB returns the memory of the machine's node, 0 if it does not run.
func (m *machine) residentMB() int {
	m.mu.Lock()
	process := m.process
	m.mu.Unlock()
	if process == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, err := strconv.Atoi(fields[0])
	if err != nil {
		return 0
	}
	return kilobytes / 1024
}

// ready asks the node's readiness address, as the platform does.
func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + m.address(portReady) + "/readiness")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// startAll starts the nodes of all machines and waits until each is ready and serves path.
func (w *world) startAll(path string) error {
	for _, m := range w.machines {
		if err := m.startNode(); err != nil {
			return err
		}
	}
	end := time.Now().Add(20 * time.Second)
	for _, m := range w.machines {
		for served := false; !served; time.Sleep(100 * time.Millisecond) {
			if time.Now().After(end) {
				return fmt.Errorf("node of %s does not serve %s", m.name, path)
			}
			if m.ready() {
				c := newClient(m)
				served = c.do(request{method: http.MethodGet, path: path, timeout: time.Second}).status == http.StatusOK
				c.close()
			}
		}
	}
	// Traffic starts 8 s after the machines do.
	time.Sleep(3 * time.Second)
	return nil
}

// close ends all that the world has started. The nodes' lines are kept if keep is true.
func (w *world) close(keep bool) {
	for _, m := range w.machines {
		m.kill()
		m.app.end()
	}
	w.store.Close()
	_ = w.server.Close()
	if !keep {
		_ = os.RemoveAll(w.folder)
	}
}
