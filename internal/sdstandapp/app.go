// Package sdstandapp is a stand-in for a target on a platform that identifies
// targets by identity and start time. It sends heartbeats to its node, runs
// requests, makes onward calls and records its runs in a ledger.
package sdstandapp

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/platform"
	"github.com/savorydeal/savorydeal/platform/platformtest"
)

// OnwardCall is a GET request that a run sends through the node of its target.
type OnwardCall struct {
	Host string
	Path string
}

// Config describes a target and its behaviour.
type Config struct {
	Edge savorydeal.EdgeHeaders
	// Address is the target's listen address. OnwardAddress and AnnounceAddress
	// are its node's addresses for onward calls and for heartbeats.
	Address, OnwardAddress, AnnounceAddress string
	Identity, Service                       string
	DataCentre                              string
	// Started is the start time of the target's process, in milliseconds since
	// the Unix epoch.
	Started int64
	// Slots is the number of requests that run at a time; more are refused.
	Slots int
	// ServiceTime is the duration of a run without its onward calls.
	ServiceTime time.Duration
	// OnwardCalls holds the calls that a run makes, by prefix of the request's
	// path.
	OnwardCalls       map[string][]OnwardCall
	HeartbeatInterval time.Duration
}

// Run is one execution of a request. Timeout is the remaining time that the
// request's header gave, or zero if it gave none.
type Run struct {
	ID, Target, CallerService, Service string
	Timeout                            time.Duration
	Started                            time.Time
	Header                             http.Header
}

// Ledger records the runs of several targets. It is safe for concurrent use.
type Ledger struct {
	mu   sync.Mutex
	runs []Run
}

// Runs returns a copy of all runs so far.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}

func (l *Ledger) add(run Run) {
	l.mu.Lock()
	l.runs = append(l.runs, run)
	l.mu.Unlock()
}

// App is a running target. It is safe for concurrent use.
type App struct {
	config   Config
	ledger   *Ledger
	listener net.Listener
	server   *http.Server
	client   *http.Client
	slots    chan struct{}

	mu       sync.Mutex
	sequence int64
	leaving  bool
	closed   bool
	// silent is true while no heartbeats are sent.
	silent   bool
	failures func(id string) Failure
	// padding is appended to all answers.
	padding string
	// statements are headers that the target adds to all of its answers.
	statements http.Header
}

// Start starts a target that serves until Close and records its runs in ledger.
func Start(config Config, ledger *Ledger) (*App, error) {
	listener, err := net.Listen("tcp", config.Address)
	if err != nil {
		return nil, fmt.Errorf("start target %s: %w", config.Identity, err)
	}
	a := &App{
		config: config, ledger: ledger, listener: listener, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		slots: make(chan struct{}, config.Slots), failures: func(string) Failure { return FailureNone },
	}
	a.server = &http.Server{Handler: http.HandlerFunc(a.serve)}
	go func() { _ = a.server.Serve(listener) }()
	return a, nil
}

// SetFailures sets the function that chooses the fault to inject into a request
// by its request ID.
func (a *App) SetFailures(failures func(id string) Failure) {
	a.mu.Lock()
	a.failures = failures
	a.mu.Unlock()
}

// SetStatements sets headers by which the target describes itself in all of its answers
// from now on.
func (a *App) SetStatements(statements http.Header) {
	a.mu.Lock()
	a.statements = statements
	a.mu.Unlock()
}

// SetPadding makes the target append a number of bytes to all of its answers.
func (a *App) SetPadding(bytes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.padding = strings.Repeat("x", bytes)
}

// Close stops the target at once without announcing that it leaves, as a crash
// does.
func (a *App) Close() {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	_ = a.server.Close()
}

// SendHeartbeats sends heartbeats until ctx ends or the target is closed.
func (a *App) SendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil && !a.isClosed() {
		// The error is ignored: a node that is not up yet receives a later
		// heartbeat.
		if !a.isSilent() {
			_ = a.SendHeartbeat(ctx)
		}
		select {
		case <-time.After(a.config.HeartbeatInterval):
		case <-ctx.Done():
		}
	}
}

func (a *App) isClosed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.closed
}

func (a *App) isSilent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.silent
}

// Leave sends a heartbeat that marks the target as leaving, as do all later ones.
func (a *App) Leave(ctx context.Context) error {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	return a.SendHeartbeat(ctx)
}

// SetSilent stops the heartbeats of SendHeartbeats, or lets them go on.
func (a *App) SetSilent(silent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = silent
}

// SendLeave announces with a call of its own, in place of a heartbeat, that the target is
// leaving. No heartbeats follow.
func (a *App) SendLeave(ctx context.Context) error {
	a.mu.Lock()
	a.leaving, a.silent = true, true
	a.mu.Unlock()
	body, err := platformtest.EncodeLeave(a.config.Started)
	if err != nil {
		return err
	}
	return a.announce(ctx, http.MethodDelete, body)
}

// SendHeartbeat sends one heartbeat to the node.
func (a *App) SendHeartbeat(ctx context.Context) error {
	return a.NextHeartbeat()(ctx)
}

// NextHeartbeat returns a function that sends the heartbeat which is due now: it may be
// called late.
func (a *App) NextHeartbeat() func(ctx context.Context) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	heartbeat := savorydeal.Heartbeat{
		Identity: a.config.Identity, Started: a.config.Started, Sequence: a.sequence, Service: a.config.Service, Address: a.config.Address,
		DataCentre: a.config.DataCentre, Slots: a.config.Slots, Leaving: a.leaving,
	}
	return func(ctx context.Context) error {
		body, err := platformtest.EncodeHeartbeat(heartbeat)
		if err != nil {
			return err
		}
		return a.announce(ctx, http.MethodPut, body)
	}
}

// announce sends a heartbeat or a leave call to the node.
func (a *App) announce(ctx context.Context, method string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+a.config.AnnounceAddress+platform.HeartbeatPathPrefix+a.config.Identity, bytes.NewReader(body))
	if err != nil {
		return err
	}
	answer, err := a.client.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("%s of %s answered with status %d", method, a.config.Identity, answer.StatusCode)
	}
	return nil
}

func (a *App) serve(w http.ResponseWriter, r *http.Request) {
	edge := a.config.Edge
	w.Header().Set(edge.Identity, a.config.Identity)
	a.mu.Lock()
	maps.Copy(w.Header(), a.statements)
	leaving := a.leaving
	a.mu.Unlock()
	if r.URL.Path == "/health" {
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get(edge.RequestID)
	w.Header().Set(edge.RequestID, id)
	if expected := r.Header.Get(edge.TargetIdentity); expected != "" && expected != a.config.Identity {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a.mu.Lock()
	failure := a.failures(id)
	a.mu.Unlock()
	if failure != FailureReset {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
	select {
	case a.slots <- struct{}{}:
		defer func() { <-a.slots }()
	default:
		failure = FailureShed
	}
	if failure == FailureShed {
		w.Header().Set(edge.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	a.run(w, r, id, failure)
}

func (a *App) run(w http.ResponseWriter, r *http.Request, id string, failure Failure) {
	edge := a.config.Edge
	timeoutMS, err := strconv.Atoi(r.Header.Get(edge.Timeout))
	if err != nil {
		timeoutMS = 0
	}
	a.ledger.add(Run{
		ID: id, Target: a.config.Identity, Service: a.config.Service, CallerService: r.Header.Get(edge.CallerService),
		Timeout: time.Duration(timeoutMS) * time.Millisecond, Started: time.Now(), Header: r.Header,
	})
	select {
	case <-time.After(a.config.ServiceTime):
	case <-r.Context().Done():
		return
	}
	w.Header().Set(edge.Signature, "signed-"+id)
	if !a.makeOnwardCalls(r, id, timeoutMS) || failure == FailureError {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	a.mu.Lock()
	body := "answer to " + id + a.padding
	a.mu.Unlock()
	switch failure {
	case FailureCrash:
		a.Close()
		return
	case FailureLostAnswer:
		panic(http.ErrAbortHandler)
	case FailureTruncatedAnswer:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+1))
	case FailureExtraAnswer:
		answer := rawAnswer(edge, id, "200", fmt.Sprintf("Content-Length: %d", len(body)), body)
		writeRaw(w, answer+answer, false)
		return
	case FailureStatusLow, FailureStatusHigh:
		writeRaw(w, rawAnswer(edge, id, string(failure), fmt.Sprintf("Content-Length: %d", len(body)), body), false)
		return
	case FailureBlankInName, FailureLineFeed:
		writeRaw(w, rawAnswer(edge, id, "200", fmt.Sprintf("Content-Length: %d\r\n%s", len(body), failure), body), false)
		return
	case FailureReset:
		writeRaw(w, rawAnswer(edge, id, "200", "A: b", body), true)
		return
	}
	_, _ = io.WriteString(w, body)
}

// makeOnwardCalls makes the onward calls of a run one after the other. It reports
// whether all of them were answered with status 200.
func (a *App) makeOnwardCalls(r *http.Request, id string, timeoutMS int) bool {
	for prefix, calls := range a.config.OnwardCalls {
		if len(r.URL.Path) < len(prefix) || r.URL.Path[:len(prefix)] != prefix {
			continue
		}
		for i, call := range calls {
			request, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+a.config.OnwardAddress+call.Path, nil)
			if err != nil {
				return false
			}
			request.Host = call.Host
			request.Header.Set(a.config.Edge.RequestID, id+"."+strconv.Itoa(i))
			request.Header.Set(a.config.Edge.Timeout, strconv.Itoa(timeoutMS))
			answer, err := a.client.Do(request)
			if err != nil {
				return false
			}
			_, err = io.Copy(io.Discard, answer.Body)
			_ = answer.Body.Close()
			if err != nil || answer.StatusCode != http.StatusOK {
				return false
			}
		}
	}
	return true
}
