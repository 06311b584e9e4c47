package sdnode

import (
	"math"
	"syscall"

	"github.com/savorydeal/savorydeal/internal/sdpolicy"
)

const (
	// reservedDescriptors are not given to the connections of clients: links to other
	// nodes, connections to the target and files use them.
	reservedDescriptors = 200
	// minConnections and maxLocalConnections bound the connections at the announce and
	// admin addresses. One target and a few operators use them.
	minConnections      = 16
	maxLocalConnections = 64
	// headBudgetBytes bounds the memory of large request heads. Of the largest heads of
	// the shortest fields, 37 fit.
	headBudgetBytes = 64 << 20
	// bodyBudgetBytes bounds the memory of the bodies of keyed calls, which are held
	// complete. One body of the largest size that a policy can allow fits.
	bodyBudgetBytes = 2 * sdpolicy.MaxBodyBytesBound
	// peerBudgetBytes bounds the memory of the calls of other nodes: 192 large bodies.
	peerBudgetBytes = 96 << 20
	// answerBudgetBytes bounds the memory of answers to keyed calls that are too large to
	// be stored: 16 of the largest size.
	answerBudgetBytes = 64 << 20
	// requestBudgetBytes bounds all of these together, so that the process stays below
	// 256 MB under a mixture of clients.
	requestBudgetBytes = bodyBudgetBytes
)

// connectionLimits are the largest numbers of open connections at each address.
type connectionLimits struct {
	caller, onward, announce, admin int
}

// newConnectionLimits divides the descriptors of the process among the addresses.
// Callers get half of them, since each call that runs takes another one for the
// connection to the target. A positive maxCallers replaces their share.
func newConnectionLimits(descriptors uint64, maxCallers int) connectionLimits {
	available := int(min(descriptors, math.MaxInt32)) - reservedDescriptors
	local := min(max(available/16, minConnections), maxLocalConnections)
	limits := connectionLimits{
		caller:   max(available/2, minConnections),
		onward:   max(available/4, minConnections),
		announce: local,
		admin:    local,
	}
	if maxCallers > 0 {
		limits.caller = maxCallers
	}
	return limits
}

// openFileLimit returns the number of descriptors that the process may open.
func openFileLimit() uint64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxInt32
	}
	return limit.Cur
}

// registerConnectionMetrics counts the connections that were closed because of a limit.
func (n *Node) registerConnectionMetrics(servers *httpServers) {
	all := []*httpServer{servers.caller, servers.onward, servers.announce, servers.admin}
	n.metrics.Counter("connections_evicted_total", "Idle connections closed with status 408 to make room for new ones.", func() float64 {
		total := 0
		for _, server := range all {
			evicted, _ := server.listener.LimitCounts()
			total += evicted
		}
		return float64(total)
	})
	n.metrics.Counter("connections_rejected_total", "Connections closed on arrival because of the limit on connections.", func() float64 {
		total := 0
		for _, server := range all {
			_, rejected := server.listener.LimitCounts()
			total += rejected
		}
		return float64(total)
	})
	n.metrics.Counter("requests_without_memory_total", "Requests refused because large ones took the memory for heads, bodies or calls of other nodes.", func() float64 {
		return float64(n.heads.Refused() + n.bodies.Refused() + n.peerCalls.Refused())
	})
}
