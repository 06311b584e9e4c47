package sdnode

import (
	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdadmission"
	"github.com/savorydeal/savorydeal/internal/sdlimit"
	"github.com/savorydeal/savorydeal/internal/sdsettings"
)

// SetCut cuts this node's links to the addresses; see sdlink.Links.SetCut.
func (n *Node) SetCut(cut func(address string) bool) {
	n.links.SetCut(cut)
}

// newAdmission builds the admission that the settings choose.
func newAdmission(overload sdsettings.Overload) savorydeal.Admission {
	if overload.Unbounded {
		return sdadmission.New(sdlimit.Unlimited{})
	}
	limiter := sdlimit.NewFixed(firstSlots)
	if overload.FIFO {
		return sdadmission.NewFIFO(limiter)
	}
	return sdadmission.New(limiter)
}
