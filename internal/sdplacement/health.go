package sdplacement

import (
	"time"

	"github.com/savorydeal/savorydeal"
)

const (
	// ejectAfter is the number of failures in a row that eject a target.
	ejectAfter = 2
	// ejectTime doubles with every ejection that a probe did not end.
	ejectTime    = time.Second
	maxEjectTime = 30 * time.Second
	maxDoublings = 5
	// failWeight is the weight of one call in the failed part.
	failWeight = 0.3
	// outlierPart: a target is an outlier if the others fail at less than
	// this part of its own rate. Without it a slow deep service, at which all
	// fail alike, would eject the targets before it.
	outlierPart = 0.5
	// ejectedPart bounds the targets of a service that are ejected at once.
	ejectedPart = 0.5
)

// health is what calls have shown of one target.
type health struct {
	failedPart float64
	inRow      int
	// until is when an ejected target may be probed; zero if not ejected.
	until     time.Time
	doublings int
	// probedAt is when the last probe was sent, so that one is out at a time.
	probedAt time.Time
}

// sent notes a call to an ejected target as its probe.
func (h *health) sent(now time.Time) {
	if !h.until.IsZero() {
		h.probedAt = now
	}
}

// judge counts one observed call for or against its target.
func (c *Chooser) judge(now time.Time, state *nodeState, observation savorydeal.PlacementObservation) {
	h := &state.health
	switch {
	case observation.Failed || observation.Reason == savorydeal.ReasonTargetFailed:
		h.failedPart += failWeight * (1 - h.failedPart)
		h.inRow++
		c.eject(now, h, observation)
	case observation.Outcome == savorydeal.OutcomeAnswered:
		*h = health{failedPart: h.failedPart * (1 - failWeight)}
	}
}

func (c *Chooser) eject(now time.Time, h *health, observation savorydeal.PlacementObservation) {
	p := c.pool(observation.Service)
	probed := !h.until.IsZero()
	if c.options.NoEjection || now.Before(h.until) || (!probed && h.inRow < ejectAfter) {
		return
	}
	if !probed && !c.outlier(p, observation.Node, h.failedPart) {
		return
	}
	h.until = now.Add(min(maxEjectTime, ejectTime<<h.doublings))
	h.doublings = min(maxDoublings, h.doublings+1)
	h.probedAt = time.Time{}
}

// outlier reports whether the other targets of the service fail much less.
func (c *Chooser) outlier(p *pool, node savorydeal.NodeID, failedPart float64) bool {
	sum, others := 0.0, 0
	for _, member := range p.all {
		if state := c.nodes[member.Node]; member.Node != node && state != nil && state.health.until.IsZero() {
			sum += state.health.failedPart
			others++
		}
	}
	return others == 0 || sum/float64(others) < outlierPart*failedPart
}

// ejected reports whether a target is to be left out. One call goes through as
// a probe when its time is over. If more than half of the service's targets
// are bad, the last ones to come back first are used all the same.
func (c *Chooser) ejected(now time.Time, p *pool, node savorydeal.NodeID) bool {
	state := c.nodes[node]
	if c.options.NoEjection || state == nil || state.health.until.IsZero() {
		return false
	}
	if !now.Before(state.health.until) && now.Sub(state.health.probedAt) > ejectTime {
		return false
	}
	bad, earlier := 0, 0
	for _, member := range p.all {
		other := c.nodes[member.Node]
		if other == nil || other.health.until.IsZero() {
			continue
		}
		bad++
		if member.Node != node && other.health.until.Before(state.health.until) {
			earlier++
		}
	}
	most := int(ejectedPart * float64(len(p.all)))
	return bad <= most || earlier >= bad-most
}

// Ejected returns the nodes whose targets are left out now.
func (c *Chooser) Ejected(now time.Time) []savorydeal.NodeID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var nodes []savorydeal.NodeID
	for _, p := range c.services {
		for _, member := range p.all {
			if c.ejected(now, p, member.Node) {
				nodes = append(nodes, member.Node)
			}
		}
	}
	return nodes
}
