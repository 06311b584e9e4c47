// Package sdstandtarget is a small stand-in for a target, for tests and the
// benchmark program. It is an HTTP server with a limited number of slots and a
// service time. It announces itself to its node and calls downstream services
// through it.
package sdstandtarget

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdheader"
	"github.com/savorydeal/savorydeal/internal/sdtargetapi"
)

const announceInterval = time.Second

// OnwardCall is a call that a run makes to a downstream service.
type OnwardCall struct {
	Service string
	Method  string
	Path    string
}

// Options configure a target.
type Options struct {
	Service string
	// Address is the listen address. Port 0 chooses a free port.
	Address string
	// Slots is the number of requests that run at a time; further ones wait.
	Slots int
	// Connections is the connection limit that the target announces.
	Connections int
	// ServiceTime is the mean time that a request holds a slot before its onward
	// calls.
	ServiceTime time.Duration
	// Behaviour varies the service time and the announced slots, and makes the
	// target refuse requests.
	Behaviour Behaviour
	// OnwardCalls are made one after the other while the slot is held.
	OnwardCalls []OnwardCall
	// OnwardCallsOf returns the onward calls for the path of a request; nil makes
	// those of OnwardCalls.
	OnwardCallsOf func(path string) []OnwardCall
	// OnwardRetries is the number of times that the target itself retries a failed
	// onward call, whatever the node answered. OnwardTimeout limits each attempt;
	// zero sets no limit.
	OnwardRetries int
	OnwardTimeout time.Duration
	// OnwardAddress and AnnounceAddress are the node's addresses for onward calls
	// and for announcements.
	OnwardAddress   string
	AnnounceAddress string
}

// Target is a running target. It is safe for concurrent use.
type Target struct {
	Ledger Ledger

	options        Options
	server         *http.Server
	client         *http.Client
	announceClient *sdtargetapi.Client
	slots          chan struct{}
	handler        atomic.Pointer[http.HandlerFunc]
	slowdown       atomic.Int64
	state          atomic.Pointer[savorydeal.TargetState]
	behaviour      behaviourState
	cancel         context.CancelFunc
	done           sync.WaitGroup
}

// Start starts a target that serves and announces itself until Stop.
func Start(options Options) (*Target, error) {
	announceClient, err := sdtargetapi.NewClient("http://" + options.AnnounceAddress)
	if err != nil {
		return nil, fmt.Errorf("create announcement client: %w", err)
	}
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, fmt.Errorf("start target: %w", err)
	}
	options.Address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	t := &Target{
		options:        options,
		client:         &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: options.Slots}},
		announceClient: announceClient,
		slots:          make(chan struct{}, options.Slots),
		cancel:         cancel,
	}
	t.slowdown.Store(1)
	t.behaviour.start(options)
	t.setState(savorydeal.TargetReady)
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve), ReadHeaderTimeout: time.Second}
	t.done.Add(2)
	go func() {
		defer t.done.Done()
		if err := t.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			t.cancel()
		}
	}()
	go func() {
		defer t.done.Done()
		t.announceLoop(ctx)
	}()
	return t, nil
}

// Options returns the target's options, with the address on which it listens.
func (t *Target) Options() Options {
	return t.options
}

// SetHandler sets the handler of requests that hold a slot; nil restores the
// default one. Tests of malformed answers use it.
func (t *Target) SetHandler(handler http.HandlerFunc) {
	if handler == nil {
		t.handler.Store(nil)
		return
	}
	t.handler.Store(&handler)
}

// SetSlowdown sets the factor by which service times are multiplied, 1 at the
// start.
func (t *Target) SetSlowdown(factor int64) {
	t.slowdown.Store(factor)
}

// Leave announces that the target is leaving. It returns the number of calls that
// the node still has in flight on it.
func (t *Target) Leave(ctx context.Context) (int, error) {
	t.setState(savorydeal.TargetLeaving)
	return t.Announce(ctx)
}

// StopAnnouncing stops the announcements without announcing that the target leaves.
func (t *Target) StopAnnouncing() {
	t.setState(savorydeal.TargetSilent)
}

func (t *Target) setState(state savorydeal.TargetState) {
	t.state.Store(&state)
}

// Announce sends one announcement of the current state. It returns the number of
// calls that the node has in flight on the target.
func (t *Target) Announce(ctx context.Context) (int, error) {
	reply, err := t.announceClient.AnnounceTarget(ctx, &sdtargetapi.Announcement{
		Service:     t.options.Service,
		Address:     t.options.Address,
		Slots:       t.announcedSlots(),
		Connections: t.options.Connections,
		State:       sdtargetapi.AnnouncementState(*t.state.Load()),
	})
	if err != nil {
		return 0, fmt.Errorf("announce %s: %w", t.options.Service, err)
	}
	return reply.CallsInFlight, nil
}

func (t *Target) announceLoop(ctx context.Context) {
	for {
		if *t.state.Load() != savorydeal.TargetSilent {
			_, _ = t.Announce(ctx)
		}
		select {
		case <-time.After(announceInterval):
		case <-ctx.Done():
			return
		}
	}
}

// Stop ends the target without announcing that it leaves, as a crash does.
func (t *Target) Stop() {
	t.cancel()
	_ = t.server.Close()
	t.done.Wait()
	t.client.CloseIdleConnections()
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(sdheader.Chain, r.Header.Get(sdheader.Chain))
	index := t.Ledger.begin(Run{
		LedgerID: r.Header.Get(HeaderLedgerID),
		Method:   r.Method,
		Path:     r.URL.Path,
		Key:      r.Header.Get(sdheader.Key),
		Started:  time.Now(),
	})
	defer func() { t.Ledger.end(index, time.Now(), r.Context().Err() != nil) }()
	if t.refuseIfOverloaded(w) {
		return
	}
	defer t.behaviour.admitted.Add(-1)
	select {
	case t.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-t.slots }()
	if handler := t.handler.Load(); handler != nil {
		(*handler)(w, r)
		return
	}
	t.run(w, r, index)
}

// run is the default handler. It waits for the service time, makes the onward calls
// and answers with the service, method and ledger ID.
func (t *Target) run(w http.ResponseWriter, r *http.Request, index int) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	serviceTime := t.drawServiceTime()
	t.Ledger.setServiceTime(index, serviceTime)
	select {
	case <-time.After(serviceTime):
	case <-r.Context().Done():
		return
	}
	for _, call := range t.onwardCallsOf(r.URL.Path) {
		if err := t.callWithRetries(r, call); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
	}
	w.Header().Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(w, "%s %s %s\n", t.options.Service, r.Method, r.Header.Get(HeaderLedgerID))
}

// onwardKey derives the idempotency key of an onward call from that of the request,
// so that a retry of the request repeats the key. The key keeps its prefix, so that
// the same process decides on both keys.
func onwardKey(r *http.Request, call OnwardCall) string {
	key := r.Header.Get(sdheader.Key)
	if key == "" {
		key = r.Header.Get(HeaderLedgerID)
	}
	return key + "-" + call.Service
}

func (t *Target) callOnward(ctx context.Context, r *http.Request, call OnwardCall) error {
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+t.options.OnwardAddress+call.Path, nil)
	if err != nil {
		return err
	}
	request.Host = call.Service
	request.Header.Set(sdheader.Chain, r.Header.Get(sdheader.Chain))
	request.Header.Set(sdheader.DeadlineMS, r.Header.Get(sdheader.DeadlineMS))
	request.Header.Set(HeaderLedgerID, r.Header.Get(HeaderLedgerID))
	if call.Method != http.MethodGet {
		request.Header.Set(sdheader.Key, onwardKey(r, call))
	}
	response, err := t.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("%s answered with status %d", call.Service, response.StatusCode)
	}
	return nil
}
