package sdbenchtruth

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdbench"
	"github.com/savorydeal/savorydeal/internal/sdforward"
	"github.com/savorydeal/savorydeal/internal/sdlink"
	"github.com/savorydeal/savorydeal/internal/sdstandrelay"
)

const (
	// unresponsiveLinkCalls is the number of calls in flight on each link.
	unresponsiveLinkCalls   = 8
	unresponsiveLinkRunTime = 600 * time.Millisecond
	unresponsiveLinkTimeout = 10 * time.Second
)

// unresponsiveLinkResult holds the outcome of calls on unresponsive links: links
// that stay open but stop passing bytes while the calls run.
type unresponsiveLinkResult struct {
	rows [][]string
	// maxDelay is the longest time from the fault to the complete answer.
	maxDelay time.Duration
	// injectedFaults counts the links that dropped bytes.
	injectedFaults int
	// doubleRuns counts attempt IDs that ran more than once.
	doubleRuns int
	// crossed counts answers with an unexpected body, lost counts calls without an
	// answer.
	crossed int
	lost    int
}

// countingForwarder runs calls at the serving node and counts the runs of each
// attempt ID.
type countingForwarder struct {
	mu   sync.Mutex
	runs map[string]int
	// started receives a value at the start of each run.
	started chan struct{}
}

// Forward runs a call for unresponsiveLinkRunTime and returns an answer with its attempt ID.
func (f *countingForwarder) Forward(_ context.Context, call savorydeal.Call, body io.ReadCloser) (savorydeal.Answer, error) {
	defer body.Close()
	_, _ = io.Copy(io.Discard, body)
	f.mu.Lock()
	f.runs[call.AttemptID]++
	f.mu.Unlock()
	f.started <- struct{}{}
	time.Sleep(unresponsiveLinkRunTime)
	answer := answerBody(call.AttemptID)
	return savorydeal.Answer{
		Status: 200, ContentLength: int64(len(answer)), Body: io.NopCloser(strings.NewReader(answer)), End: &savorydeal.AnswerEnd{},
	}, nil
}

func runUnresponsiveLinks(options sdbench.Options) (*unresponsiveLinkResult, error) {
	result := &unresponsiveLinkResult{rows: [][]string{{"dropped bytes", "calls in flight", "answered", "run once", "median s", "longest s"}}}
	for _, mode := range []struct {
		name      string
		direction sdstandrelay.Direction
		passBytes int64
	}{
		{"both directions", sdstandrelay.BothWays, 0},
		{"to the serving node", sdstandrelay.ToServer, 0},
		{"to the calling node", sdstandrelay.ToClient, 0},
		{"to the calling node after 4096 bytes", sdstandrelay.ToClient, 4096},
	} {
		if err := result.measureDirection(options, mode.name, mode.direction, mode.passBytes); err != nil {
			return nil, err
		}
	}
	return result, nil
}

// measureDirection makes a link drop the bytes of one direction while calls run
// on it, and measures the time from then to the complete answer of each call.
// The link passes passBytes more bytes before it drops the rest.
func (s *unresponsiveLinkResult) measureDirection(options sdbench.Options, name string, direction sdstandrelay.Direction, passBytes int64) error {
	log := hclog.NewNullLogger()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	serverForwarder := &countingForwarder{runs: make(map[string]int), started: make(chan struct{}, unresponsiveLinkCalls)}
	serverLinks := sdlink.New(sdlink.Identity{Node: "far", Generation: 1}, options.Clock, log)
	server := &sdforward.Server{Forwarder: serverForwarder, Clock: options.Clock, Attempts: sdforward.NewAttempts(options.Clock), Log: log}
	serverLinks.Handle(sdlink.KindCall, server.Serve)
	serverLinks.Handle(sdlink.KindFetch, server.ServeFetch)
	ctx, cancel := context.WithTimeout(context.Background(), unresponsiveLinkTimeout)
	defer cancel()
	go func() { _ = serverLinks.Serve(ctx, listener) }()
	relay, err := sdstandrelay.Start("127.0.0.1:0", listener.Addr().String())
	if err != nil {
		return err
	}
	clientLinks := sdlink.New(sdlink.Identity{Node: "near", Generation: 1}, options.Clock, log)
	defer func() {
		clientLinks.Close()
		_ = listener.Close()
		serverLinks.Close()
		relay.Close()
	}()
	client := &sdforward.Client{Links: clientLinks, Address: relay.Address(), Kind: sdlink.KindCall}
	delays := s.callDuringFault(ctx, client, relay, serverForwarder, direction, passBytes)
	if relay.DroppedBytes() > 0 {
		s.injectedFaults++
	}
	return s.record(name, serverForwarder, delays)
}

// callDuringFault returns the time that each answered call took after the link
// began to drop bytes.
func (s *unresponsiveLinkResult) callDuringFault(ctx context.Context, client *sdforward.Client, relay *sdstandrelay.Relay, forwarder *countingForwarder, direction sdstandrelay.Direction, passBytes int64) []time.Duration {
	var mu sync.Mutex
	var delays []time.Duration
	var wait sync.WaitGroup
	faultTimes := make(chan time.Time)
	for i := range unresponsiveLinkCalls {
		wait.Add(1)
		go func() {
			defer wait.Done()
			id := fmt.Sprintf("silent-%d", i)
			body, err := forwardOne(ctx, client, id)
			delay := time.Since(<-faultTimes)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				s.lost++
			case body != answerBody(id):
				s.crossed++
			default:
				delays = append(delays, delay)
			}
		}()
	}
	for range unresponsiveLinkCalls {
		<-forwarder.started
	}
	relay.Blackhole(direction, passBytes)
	faultAt := time.Now()
	for range unresponsiveLinkCalls {
		faultTimes <- faultAt
	}
	wait.Wait()
	return delays
}

func forwardOne(ctx context.Context, client *sdforward.Client, id string) (string, error) {
	call := savorydeal.Call{AttemptID: id, Service: service, ContentLength: 0, Timeout: unresponsiveLinkTimeout}
	answer, err := client.Forward(ctx, call, io.NopCloser(strings.NewReader("")))
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return string(body), err
}

func (s *unresponsiveLinkResult) record(name string, forwarder *countingForwarder, delays []time.Duration) error {
	if len(delays) == 0 {
		return fmt.Errorf("%s: no call was answered", name)
	}
	slices.Sort(delays)
	forwarder.mu.Lock()
	defer forwarder.mu.Unlock()
	once := 0
	for _, runs := range forwarder.runs {
		if runs == 1 {
			once++
			continue
		}
		s.doubleRuns++
	}
	longest := delays[len(delays)-1]
	s.maxDelay = max(s.maxDelay, longest.Round(time.Millisecond))
	s.rows = append(s.rows, []string{
		name, fmt.Sprint(unresponsiveLinkCalls), fmt.Sprint(len(delays)), fmt.Sprint(once),
		fmt.Sprintf("%.2f", delays[len(delays)/2].Seconds()), fmt.Sprintf("%.2f", longest.Seconds()),
	})
	return nil
}

func (s *unresponsiveLinkResult) print(w io.Writer) error {
	_, _ = fmt.Fprintln(w, "Unresponsive links: time from the fault to the complete answer of calls in flight.")
	_, _ = fmt.Fprintln(w)
	err := sdbench.PrintTable(w, s.rows)
	_, _ = fmt.Fprintln(w)
	return err
}

func (s *unresponsiveLinkResult) check() error {
	if s.injectedFaults != len(s.rows)-1 {
		return errors.New("no bytes were dropped on at least one link: the figures are not valid")
	}
	if s.doubleRuns+s.crossed+s.lost > 0 {
		return fmt.Errorf("unresponsive links: %d double runs, %d crossed and %d lost answers", s.doubleRuns, s.crossed, s.lost)
	}
	return nil
}
