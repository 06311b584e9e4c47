package sdplacement

import (
	"time"

	"github.com/savorydeal/savorydeal"
)

const (
	// ejectAfterFailures is the number of consecutive failures after which a
	// target may be ejected.
	ejectAfterFailures = 2
	// baseEjectionTime is the duration of a first ejection. It doubles each
	// time a probe fails, up to maxDoublings times and at most to
	// maxEjectionTime. It is also the minimum time between two probes of one
	// target.
	baseEjectionTime = time.Second
	maxEjectionTime  = 30 * time.Second
	maxDoublings     = 5
	// failureWeight is the weight of one call in the moving average of a
	// target's failure rate.
	failureWeight = 0.3
	// outlierRatio: a target is an outlier if the mean failure rate of the
	// others is below this fraction of its own. Without this condition a slow
	// downstream service, which makes calls fail at all targets alike, would get
	// targets of the services that call it ejected.
	outlierRatio = 0.5
	// maxEjectedShare bounds the share of a service's targets that are ejected
	// at the same time.
	maxEjectedShare = 0.5
)

// health is the outlier detection state of one target.
type health struct {
	// failureRate is the moving average of failed calls, in [0, 1].
	failureRate         float64
	consecutiveFailures int
	// ejectedUntil is when an ejected target may be probed; zero if not
	// ejected.
	ejectedUntil time.Time
	// doublings is the number of times that the next ejection's duration is
	// doubled.
	doublings int
	// probedAt is when the last probe was sent; zero before the first probe of
	// an ejection.
	probedAt time.Time
}

// recordProbe records that a call is sent now. To an ejected target, the call
// is a probe.
func (h *health) recordProbe(now time.Time) {
	if !h.ejectedUntil.IsZero() {
		h.probedAt = now
	}
}

// recordOutcome updates a target's health with the outcome of one call.
// Outcomes other than an answer or a failure of the target don't count.
func (c *Chooser) recordOutcome(now time.Time, state *nodeState, observation savorydeal.PlacementObservation) {
	h := &state.health
	switch {
	case observation.Failed || observation.Reason == savorydeal.ReasonTargetFailed:
		h.failureRate += failureWeight * (1 - h.failureRate)
		h.consecutiveFailures++
		c.ejectIfOutlier(now, h, observation)
	case observation.Outcome == savorydeal.OutcomeAnswered:
		*h = health{failureRate: h.failureRate * (1 - failureWeight)}
	}
}

// ejectIfOutlier ejects a target after a failed call if it is an outlier and
// has failed ejectAfterFailures times in a row, or again if the call was a
// probe.
func (c *Chooser) ejectIfOutlier(now time.Time, h *health, observation savorydeal.PlacementObservation) {
	p := c.poolOf(observation.Service)
	ejectedBefore := !h.ejectedUntil.IsZero()
	if c.options.NoEjection || now.Before(h.ejectedUntil) || (!ejectedBefore && h.consecutiveFailures < ejectAfterFailures) {
		return
	}
	if !ejectedBefore && !c.isOutlier(p, observation.Node, h.failureRate) {
		return
	}
	h.ejectedUntil = now.Add(min(maxEjectionTime, baseEjectionTime<<h.doublings))
	h.doublings = min(maxDoublings, h.doublings+1)
	h.probedAt = time.Time{}
}

// isOutlier reports whether a target fails much more often than the service's
// other targets that are not ejected, see outlierRatio. Without others it is an
// outlier.
func (c *Chooser) isOutlier(p *pool, node savorydeal.NodeID, failureRate float64) bool {
	sum, others := 0.0, 0
	for _, member := range p.all {
		if state := c.nodes[member.Node]; member.Node != node && state != nil && state.health.ejectedUntil.IsZero() {
			sum += state.health.failureRate
			others++
		}
	}
	return others == 0 || sum/float64(others) < outlierRatio*failureRate
}

// isEjected reports whether a target gets no calls now. When its ejection time
// is over, one call at a time gets through as a probe, at intervals of
// baseEjectionTime. If more targets of the service are ejected than
// maxEjectedShare allows, those whose ejection ends first stay in use.
func (c *Chooser) isEjected(now time.Time, p *pool, node savorydeal.NodeID) bool {
	state := c.nodes[node]
	if c.options.NoEjection || state == nil || state.health.ejectedUntil.IsZero() {
		return false
	}
	if !now.Before(state.health.ejectedUntil) && now.Sub(state.health.probedAt) > baseEjectionTime {
		return false
	}
	ejected, endingEarlier := 0, 0
	for _, member := range p.all {
		other := c.nodes[member.Node]
		if other == nil || other.health.ejectedUntil.IsZero() {
			continue
		}
		ejected++
		if member.Node != node && other.health.ejectedUntil.Before(state.health.ejectedUntil) {
			endingEarlier++
		}
	}
	maxEjected := int(maxEjectedShare * float64(len(p.all)))
	return ejected <= maxEjected || endingEarlier >= ejected-maxEjected
}

// Ejected returns the nodes of the targets that get no calls now because they
// are ejected.
func (c *Chooser) Ejected(now time.Time) []savorydeal.NodeID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var nodes []savorydeal.NodeID
	for _, p := range c.pools {
		for _, member := range p.all {
			if c.isEjected(now, p, member.Node) {
				nodes = append(nodes, member.Node)
			}
		}
	}
	return nodes
}
