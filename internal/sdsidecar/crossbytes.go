package sdsidecar

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdhttp"
)

// Causes of traffic between data centres that are not the path of a control call.
const (
	causeCalls  = "calls"
	causeGossip = "gossip"
)

// trafficCause is what bytes between data centres were sent for. Route is empty for
// control messages.
type trafficCause struct {
	cause, route string
}

// crossDataCentreBytes counts the bytes that this node exchanges with nodes of other
// data centres: those of the exchanges that it starts, in both directions, and those
// of the datagrams that it sends, so that the sum over all nodes counts each byte once.
type crossDataCentreBytes struct {
	mu          sync.Mutex
	byCause     map[trafficCause]*sdhttp.ByteCounts
	dataCentres map[string]string
}

func (b *crossDataCentreBytes) counts(cause, route string) *sdhttp.ByteCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := trafficCause{cause: cause, route: route}
	if b.byCause[key] == nil {
		if b.byCause == nil {
			b.byCause = make(map[trafficCause]*sdhttp.ByteCounts)
		}
		b.byCause[key] = &sdhttp.ByteCounts{}
	}
	return b.byCause[key]
}

func (b *crossDataCentreBytes) setMembers(members []savorydeal.Member) {
	dataCentres := make(map[string]string, len(members))
	for _, member := range members {
		dataCentres[member.PeerAddress] = member.DataCentre
	}
	b.mu.Lock()
	b.dataCentres = dataCentres
	b.mu.Unlock()
}

func (b *crossDataCentreBytes) dataCentre(address string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dataCentres[address]
}

func (b *crossDataCentreBytes) total() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := int64(0)
	for _, counts := range b.byCause {
		total += counts.RequestHeads.Load() + counts.RequestBodies.Load() + counts.AnswerHeads.Load() + counts.AnswerBodies.Load()
	}
	return total
}

// controlBytes returns the counts for a control message to a node of another data
// centre, and nil if the node is in this data centre. A node that is not in the view
// counts as one of another data centre.
func (n *Node) controlBytes(address, cause string) *sdhttp.ByteCounts {
	if n.crossBytes.dataCentre(address) == n.settings.DataCentre {
		return nil
	}
	return n.crossBytes.counts(cause, "")
}

var crossBytesDesc = prometheus.NewDesc(prometheus.BuildFQName(namespace, "", "cross_dc_bytes_total"),
	"Bytes exchanged with nodes of other data centres, without those of the transport, by cause, route of a call, and part of the message.",
	[]string{"cause", "route", "part"}, nil)

// Describe implements prometheus.Collector.
func (b *crossDataCentreBytes) Describe(descs chan<- *prometheus.Desc) {
	descs <- crossBytesDesc
}

// Collect implements prometheus.Collector.
func (b *crossDataCentreBytes) Collect(metrics chan<- prometheus.Metric) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, counts := range b.byCause {
		for part, bytes := range map[string]int64{
			"request_head": counts.RequestHeads.Load(), "request_body": counts.RequestBodies.Load(),
			"answer_head": counts.AnswerHeads.Load(), "answer_body": counts.AnswerBodies.Load(),
		} {
			metrics <- prometheus.MustNewConstMetric(crossBytesDesc, prometheus.CounterValue, float64(bytes), key.cause, key.route, part)
		}
	}
}
