package sdsidecar

const (
	// defaultMaxDescriptors is the limit on open descriptors if the settings state none.
	defaultMaxDescriptors = 4096
	// fileDescriptors is the number of descriptors that the platform counts for files.
	fileDescriptors = 200
	// connMemoryBytes is the memory for one connection of a client: buffers, stacks and a
	// head that is being received.
	connMemoryBytes = 128 << 10
)

// Shares of the descriptors for connections. The rest is for the store and for connections
// that are being closed.
const (
	callerConnShare   = 0.35
	peerConnShare     = 0.2
	announceConnShare = 0.05
	readyConnShare    = 0.02
	metricsConnShare  = 0.02
	toPeersShare      = 0.2
	toTargetShare     = 0.15
)

// connLimits are the numbers of connections that a node accepts at each address, and that it
// opens to other nodes and to its target for calls.
type connLimits struct {
	callers, peers, announce, ready, metrics, toPeers, toTarget int
}

func newConnLimits(maxDescriptors int, memoryBytes int64) connLimits {
	if maxDescriptors == 0 {
		maxDescriptors = defaultMaxDescriptors
	}
	sockets := float64(max(maxDescriptors/2, maxDescriptors-fileDescriptors))
	share := func(part float64) int { return max(1, int(part*sockets)) }
	limits := connLimits{
		callers: share(callerConnShare), peers: share(peerConnShare),
		announce: share(announceConnShare), ready: share(readyConnShare), metrics: share(metricsConnShare),
		toPeers: share(toPeersShare), toTarget: share(toTargetShare),
	}
	if memoryBytes > 0 {
		limits.callers = min(limits.callers, max(1, int(memoryBytes/connMemoryBytes)))
	}
	return limits
}

// connsLimited returns the function that reports connections closed at the limit of an
// address. closed is 0 if a new connection was refused.
func (n *Node) connsLimited(address string) func(closed int) {
	return func(closed int) {
		n.metrics.connsClosed.WithLabelValues(address).Add(float64(max(1, closed)))
		n.log.Request("connections closed at the limit", "address", address, "closed", closed)
	}
}
