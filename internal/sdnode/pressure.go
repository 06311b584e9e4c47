package sdnode

import (
	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdadmission"
	"github.com/savorydeal/savorydeal/internal/sdlimit"
	"github.com/savorydeal/savorydeal/internal/sdplacement"
	"github.com/savorydeal/savorydeal/internal/sdpressure"
	"github.com/savorydeal/savorydeal/internal/sdretry"
	"github.com/savorydeal/savorydeal/internal/sdsettings"
)

// SetCut cuts this node's links to the addresses; see sdlink.Links.SetCut.
func (n *Node) SetCut(cut func(address string) bool) {
	n.links.SetCut(cut)
}

// newAdmission builds the admission that the settings choose.
func newAdmission(overload sdsettings.Overload) savorydeal.Admission {
	if overload.Unbounded {
		return sdadmission.NewFIFO(sdlimit.Unlimited{})
	}
	limiter := newLimiter(overload.Limiter)
	if overload.FIFO {
		return sdadmission.NewFIFO(limiter)
	}
	return sdadmission.New(limiter, sdadmission.Options{
		OldestFirst: overload.Off.NewestRun,
		AnyDepth:    overload.Off.DepthFirst,
		AnyCaller:   overload.Off.Fairness,
	})
}

func newLimiter(name sdsettings.Limiter) savorydeal.Limiter {
	switch name {
	case sdsettings.LimiterFixed:
		return sdlimit.NewFixed(firstSlots)
	case sdsettings.LimiterAIMD:
		return sdlimit.NewAIMD(firstSlots)
	case sdsettings.LimiterGradient:
		return sdlimit.NewGradient(firstSlots)
	case sdsettings.LimiterDelay:
		return sdlimit.NewDelay(firstSlots)
	default:
		return sdlimit.NewTrial(firstSlots)
	}
}

// newDoor puts the door before the path of a call.
func (n *Node) newDoor(next savorydeal.Carrier) *sdpressure.Carrier {
	door := sdpressure.New(n.newRandom())
	door.EqualRanks = n.settings.Overload.Off.Fairness
	return &sdpressure.Carrier{
		Clock: n.clock,
		Door:  door,
		Next:  next,
		Open:  n.settings.Overload.Off.Door || n.settings.Overload.Unbounded,
	}
}

// newRetries builds the decision on retries, held back under overload.
func (n *Node) newRetries() savorydeal.Retries {
	retries := sdretry.New(n.newRandom())
	if n.settings.Overload.Off.Door || n.settings.Overload.Unbounded {
		return retries
	}
	return sdpressure.Retries{Retries: retries}
}

func (n *Node) newPlacement() *sdplacement.Chooser {
	off := n.settings.Overload.Off
	return sdplacement.New(sdplacement.Options{
		Self:       n.self,
		DataCentre: n.settings.DataCentre,
		NoSpill:    off.Spill || n.settings.Overload.Unbounded,
		NoEjection: off.Ejection || n.settings.Overload.Unbounded,
		NoRamp:     off.Ramp || n.settings.Overload.Unbounded,
	}, n.newRandom())
}
