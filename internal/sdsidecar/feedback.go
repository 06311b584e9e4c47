package sdsidecar

import (
	"context"
	"errors"
	"math"
	"net/http"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdfeedback"
	"github.com/savorydeal/savorydeal/internal/sdhttp"
	"github.com/savorydeal/savorydeal/internal/sdpeerheader"
	"github.com/savorydeal/savorydeal/platform"
)

// feedbackPath is the path at which a node receives what another one knows of its target.
const feedbackPath = "/feedback"

// answerOf returns the answer of a request, or the header of one whose body was not
// received completely; nil if there is none.
func answerOf(response *sdhttp.Response, err error) *sdhttp.Response {
	var failure *sdhttp.RequestError
	if errors.As(err, &failure) {
		return failure.Answer
	}
	return response
}

// observeAnswer records what the target states about itself in an answer to a request
// that was sent to it at sentAt; answer is nil if there is none.
func (s *targetServer) observeAnswer(start savorydeal.TargetStart, sentAt time.Time, answer *sdhttp.Response) {
	if answer == nil || answer.Status == http.StatusMisdirectedRequest {
		return // a request to the wrong target is answered by that target
	}
	feedback, err := platform.DecodeFeedback(answer.Header)
	if err != nil {
		s.node.log.Request("target's answer not decoded", "identity", start.Identity, "error", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.feedback.Observe(sdfeedback.Answer{Start: start, Feedback: feedback, SentAt: sentAt, ReceivedAt: answer.ReceivedAt}) {
		s.applyFeedback()
	}
}

// adoptFeedback takes over what another node has learnt of this VM's target and this
// process may not know yet. encoded is a value of sdpeerheader.FeedbackHeader, received at
// receivedAt.
func (s *targetServer) adoptFeedback(encoded string, receivedAt time.Time) error {
	feedback, err := sdpeerheader.DecodeFeedback(encoded)
	if err != nil {
		s.node.log.Request("feedback of another node not decoded", "error", err)
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.feedback.Adopt(feedback.Start, feedback.Feedback, receivedAt.Add(-feedback.Age)) {
		s.applyFeedback()
	}
	return nil
}

// reportFeedback adds what holds of the target to the header of a reply to another node.
func (s *targetServer) reportFeedback(header http.Header) {
	header.Del(sdpeerheader.FeedbackHeader) // the target may have set it
	s.mu.Lock()
	feedback := sdpeerheader.Feedback{Start: s.feedback.Start(), Feedback: s.feedback.InForce()}
	s.mu.Unlock()
	if feedback.Limited || feedback.Leaving {
		header.Set(sdpeerheader.FeedbackHeader, feedback.Encode())
	}
}

// applyFeedback applies a change of what holds of the target. A target that is leaving
// gets none of the waiting calls; the control goroutine advertises it. The caller holds mu.
func (s *targetServer) applyFeedback() {
	s.applyLimits()
	start, inForce := s.feedback.Start(), s.feedback.InForce()
	if inForce.Leaving {
		s.notifyWaiting(s.queue.Drain())
		s.node.postControl(s.node.publishTarget)
	}
	s.node.log.Request("target feedback changed", "identity", start.Identity, "started", start.Started,
		"rate_limit", rateLimitValue(inForce), "leaving", inForce.Leaving)
}

// observeFeedback records what the target's node reports of its target with a reply. A
// reply without feedback shows that nothing holds only if the target has answered: a node
// that has just started may not know its target yet.
func (n *Node) observeFeedback(member savorydeal.Member, sentAt time.Time, response *sdhttp.Response, reply sdpeerheader.Reply) {
	answer := sdfeedback.Answer{SentAt: sentAt, ReceivedAt: response.ReceivedAt}
	if encoded := response.Header.Get(sdpeerheader.FeedbackHeader); encoded != "" {
		response.Header.Del(sdpeerheader.FeedbackHeader)
		feedback, err := sdpeerheader.DecodeFeedback(encoded)
		if err != nil {
			n.log.Request("feedback in a reply not decoded", "peer", member.PeerAddress, "error", err)
			return
		}
		answer.Start, answer.Feedback = feedback.Start, feedback.Feedback
	} else if !reply.ReachedTarget {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.feedback.Observe(member.Node, answer)
	if answer.Feedback.Leaving {
		n.balancer.SetLeaving(member.Node, answer.Start)
	}
}

// statedLeaving returns the start of the target, and whether it has stated that it is
// leaving.
func (s *targetServer) statedLeaving() (savorydeal.TargetStart, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.feedback.Start(), s.feedback.InForce().Leaving
}

// notifyOfLeaving tells the nodes that now advertise a target as ready although this node
// knows that the target is leaving: they were restarted since, and a target that does not
// announce that it is leaving would get requests until one of them is answered.
func (n *Node) notifyOfLeaving(changes []savorydeal.Member) {
	for _, member := range changes {
		if member.TargetState != savorydeal.TargetReady {
			continue
		}
		feedback, ok := n.knownFeedback(member.Node)
		if !ok || !feedback.Leaving || !feedback.Start.Matches(member.TargetStart) {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
			defer cancel()
			if _, err := n.callPeer(ctx, member.PeerAddress, http.MethodPost, feedbackPath, []byte(feedback.Encode())); err != nil {
				n.log.Info("feedback not delivered", "peer", member.PeerAddress, "identity", feedback.Start.Identity, "error", err)
			}
		}()
	}
}

// knownFeedback returns what this node knows of another node's target, for the header
// of a call. It reports false if there is nothing.
func (n *Node) knownFeedback(node savorydeal.NodeID) (sdpeerheader.Feedback, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	known, ok := n.feedback.Lookup(node)
	feedback := sdpeerheader.Feedback{Start: known.Start, Feedback: known.Feedback}
	if feedback.Limited {
		feedback.Age = n.clock.Now().Sub(known.LimitAt)
	}
	return feedback, ok
}

// takeStart counts a request of the node itself to the target. It reports false if the
// target's rate limit does not allow it now.
func (s *targetServer) takeStart() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.TakeStart(time.Now())
}

// applyLimits passes the target's limits to the queue. Under a rate limit that is known from
// other nodes alone, one call runs at a time: the first answer shows the present limit,
// which may have fallen. The caller holds mu.
func (s *targetServer) applyLimits() {
	now, inForce := time.Now(), s.feedback.InForce()
	s.notifyWaiting(s.queue.SetRateLimit(now, inForce.Limited, inForce.RateLimit))
	switch slots := s.state.Heartbeat.Slots; {
	case s.feedback.Adopted():
		s.notifyWaiting(s.queue.SetLimit(now, 1))
	case slots > 0:
		s.notifyWaiting(s.queue.SetLimit(now, int(slotShare*float64(slots))))
	}
}

// rateLimitValue returns the rate limit as a number, +Inf if there is none.
func rateLimitValue(feedback savorydeal.Feedback) float64 {
	if !feedback.Limited {
		return math.Inf(1)
	}
	return feedback.RateLimit
}
