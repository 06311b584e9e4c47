package sdnode

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/savorydeal/savorydeal/internal/sddrain"
	"github.com/savorydeal/savorydeal/internal/sdkeepalive"
	"github.com/savorydeal/savorydeal/internal/sdlink"
)

// drainPoll is how often a graceful stop checks the work in flight.
const drainPoll = 10 * time.Millisecond

// ErrStopTimeout means that the stop timeout passed before the work in flight
// was finished. The unfinished work was cut off.
var ErrStopTimeout = errors.New("stop timeout passed with work in flight")

// stopState tracks the work in flight for a graceful stop.
type stopState struct {
	// callers holds the connections of callers outside the VM, local those of
	// the target and of operators.
	callers *sdkeepalive.ConnSet
	local   *sdkeepalive.ConnSet
	// peerCalls is the number of calls of other nodes whose answer is not yet
	// written.
	peerCalls atomic.Int64
	phase     atomic.Pointer[sddrain.Phase]
	// handoverFuncs pass on state that other nodes rely on. They are set before Run.
	handoverFuncs []func(ctx context.Context) error
}

func (s *stopState) init() {
	s.callers = sdkeepalive.NewConnSet()
	s.local = sdkeepalive.NewConnSet()
	s.setPhase(sddrain.PhaseServing)
}

func (s *stopState) setPhase(phase sddrain.Phase) {
	s.phase.Store(&phase)
}

// countPeerCalls wraps a link handler to count the calls of other nodes, from the
// opening of their stream until the last byte of their answer is written.
func (s *stopState) countPeerCalls(next sdlink.Handler) sdlink.Handler {
	return func(ctx context.Context, stream *sdlink.Stream) {
		s.peerCalls.Add(1)
		defer s.peerCalls.Add(-1)
		next(ctx, stream)
	}
}

func (n *Node) inFlight() sddrain.InFlight {
	callers, local := n.stop.callers.Counts(), n.stop.local.Counts()
	return sddrain.InFlight{
		CallerConnections:  callers.Open,
		ClosingConnections: callers.Closing + local.Closing,
		TargetCalls:        n.admitter.Pending(),
		PeerCalls:          int(n.stop.peerCalls.Load()),
		LocalConnections:   local.Open,
	}
}

// gracefulStop is a graceful stop in progress.
type gracefulStop struct {
	node       *Node
	drain      *sddrain.Drain
	servers    *httpServers
	handedOver chan struct{}
}

// waitAndStop waits until ctx ends and then stops the node gracefully. It
// returns nil if stopped is closed first.
func (n *Node) waitAndStop(ctx context.Context, servers *httpServers, stopped <-chan struct{}) error {
	select {
	case <-ctx.Done():
	case <-stopped:
		return nil
	}
	n.log.Info("stopping", "timeout", n.settings.StopTimeout, "grace", n.settings.StopGrace)
	s := &gracefulStop{
		node:       n,
		drain:      sddrain.New(n.settings.StopTimeout, n.settings.StopGrace),
		servers:    servers,
		handedOver: make(chan struct{}, 1),
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), n.settings.StopTimeout)
	defer cancel()
	return s.run(stopCtx)
}

func (s *gracefulStop) run(ctx context.Context) error {
	s.perform(ctx, s.drain.Start(s.node.clock.Now()))
	for s.drain.Phase() != sddrain.PhaseStopped {
		select {
		case <-s.node.clock.After(drainPoll):
			s.perform(ctx, s.drain.Observe(s.node.clock.Now(), s.node.inFlight()))
		case <-s.handedOver:
			s.perform(ctx, s.drain.FinishHandOver(s.node.clock.Now()))
		}
	}
	result := s.drain.Result()
	if !result.Forced {
		return nil
	}
	unfinished := result.Unfinished
	return fmt.Errorf("phase %s: %d caller connections, %d target calls, %d calls of other nodes, %d local connections: %w",
		result.Phase, unfinished.CallerConnections, unfinished.TargetCalls, unfinished.PeerCalls, unfinished.LocalConnections, ErrStopTimeout)
}

func (s *gracefulStop) perform(ctx context.Context, actions []sddrain.Action) {
	if phase := s.drain.Phase(); phase != *s.node.stop.phase.Load() {
		s.node.log.Info("stop phase changed", "phase", string(phase))
		s.node.stop.setPhase(phase)
	}
	for _, action := range actions {
		switch action {
		case sddrain.ActionAnnounceLeaving:
			s.node.stop.callers.DisableKeepAlives()
			s.node.beginStop(ctx)
		case sddrain.ActionRefuseCallers:
			s.servers.caller.listener.Drain()
			s.node.stop.callers.RefuseIdle()
		case sddrain.ActionHandOver:
			go s.handOver(ctx)
		case sddrain.ActionRefuseLocal:
			for _, server := range s.servers.local() {
				server.listener.Drain()
			}
			s.node.stop.local.RefuseIdle()
		case sddrain.ActionEnd:
			s.node.stop.callers.Close()
			s.node.stop.local.Close()
		}
	}
}

// handOver passes state on to other nodes. A failure or timeout is logged, and
// the stop continues.
func (s *gracefulStop) handOver(ctx context.Context) {
	now := s.node.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, s.drain.HandOverDeadline(now).Sub(now))
	defer cancel()
	for _, handOver := range s.node.stop.handoverFuncs {
		if err := handOver(ctx); err != nil {
			s.node.log.Warn("handover incomplete", "error", err)
		}
	}
	s.handedOver <- struct{}{}
}

// stopDump is the dump section of the graceful stop.
type stopDump struct {
	Phase             string `json:"phase"`
	CallerConnections int    `json:"caller_connections"`
	Closing           int    `json:"answered_connections"`
	TargetCalls       int    `json:"target_calls"`
	PeerCalls         int    `json:"peer_calls"`
	LocalConnections  int    `json:"local_connections"`
	Refused           int    `json:"refused_connections"`
}

func (n *Node) dumpStop() stopDump {
	inFlight := n.inFlight()
	return stopDump{
		Phase:             string(*n.stop.phase.Load()),
		CallerConnections: inFlight.CallerConnections,
		Closing:           inFlight.ClosingConnections,
		TargetCalls:       inFlight.TargetCalls,
		PeerCalls:         inFlight.PeerCalls,
		LocalConnections:  inFlight.LocalConnections,
		Refused:           n.stop.callers.Counts().Refused + n.stop.local.Counts().Refused,
	}
}
