package sdnode

import (
	"context"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdconfig"
	"github.com/savorydeal/savorydeal/internal/sdgossip"
	"github.com/savorydeal/savorydeal/internal/sdoperator"
	"github.com/savorydeal/savorydeal/internal/sdrecord"
)

const (
	// queryTimeout bounds one round of a query.
	queryTimeout = 400 * time.Millisecond
	// queryRounds is the maximum number of queries to a collector that does not
	// answer.
	queryRounds = 2
)

// collectorQuery is the query to one collector for some slots of a data centre.
type collectorQuery struct {
	dataCentre string
	collector  savorydeal.NodeID
	slots      []int
	sequence   uint64
}

// InForce queries the collectors and returns how many nodes have at least the
// version of a policy in force, lag behind it or are unreachable. A round sends at
// most one message per slot and data centre. Nodes whose collector does not answer
// count as unreachable.
func (n *Node) InForce(ctx context.Context, service string, version int64) sdoperator.InForce {
	query := sdconfig.Query{Key: sdconfig.Key{Kind: sdrecord.KindPolicy, Name: service}, Version: version}
	queries := collectorQueries(n.Members())
	var total sdconfig.Answer
	for range queryRounds {
		queries = n.queryCollectors(ctx, query, queries, &total)
		if len(queries) == 0 {
			break
		}
	}
	for _, unanswered := range queries {
		n.countUnreachable(unanswered, &total)
	}
	return sdoperator.InForce{
		InForce:          total.InForce,
		LaggingCount:     total.Lagging,
		UnreachableCount: total.Unreachable,
		Lagging:          total.NamedLagging,
		Unreachable:      total.NamedUnreachable,
	}
}

// collectorQueries groups the slots of each data centre by their collectors.
func collectorQueries(members []savorydeal.Member) []collectorQuery {
	var queries []collectorQuery
	grouped := make(map[string]bool)
	for _, member := range members {
		dataCentre := member.DataCentre
		if grouped[dataCentre] {
			continue
		}
		grouped[dataCentre] = true
		indexes := make(map[savorydeal.NodeID]int)
		for slot, collector := range sdconfig.Collectors(members, dataCentre) {
			if collector == "" {
				continue
			}
			index, ok := indexes[collector]
			if !ok {
				index = len(queries)
				indexes[collector] = index
				queries = append(queries, collectorQuery{dataCentre: dataCentre, collector: collector})
			}
			queries[index].slots = append(queries[index].slots, slot)
		}
	}
	return queries
}

// queryCollectors sends one round of queries, adds the answers to total and
// returns the queries without an answer.
func (n *Node) queryCollectors(ctx context.Context, query sdconfig.Query, queries []collectorQuery, total *sdconfig.Answer) []collectorQuery {
	answers := make(chan sdconfig.Answer, len(queries))
	unsent := queries
	queries, err := doResult(ctx, n, func(c *control) []collectorQuery { return n.sendQueries(c, query, unsent, answers) })
	if err != nil {
		return unsent // their nodes count as unreachable
	}
	answered := make(map[uint64]bool)
	timeout := n.clock.After(queryTimeout)
	for waiting := true; waiting && len(answered) < len(queries); {
		select {
		case answer := <-answers:
			answered[answer.Sequence] = true
			total.Merge(answer)
		case <-timeout:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
	}
	var unanswered []collectorQuery
	for _, sent := range queries {
		if !answered[sent.sequence] {
			unanswered = append(unanswered, sent)
		}
	}
	cleanupCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), queryTimeout)
	defer cancel()
	_ = n.do(cleanupCtx, func(c *control) {
		for _, sent := range unanswered {
			delete(c.pendingQueries, sent.sequence)
		}
	})
	return unanswered
}

// sendQueries sends one round of queries and returns them with their sequence
// numbers.
func (n *Node) sendQueries(c *control, query sdconfig.Query, queries []collectorQuery, answers chan<- sdconfig.Answer) []collectorQuery {
	sent := make([]collectorQuery, 0, len(queries))
	for _, toCollector := range queries {
		c.lastQuery++
		toCollector.sequence = c.lastQuery
		sent = append(sent, toCollector)
		c.pendingQueries[c.lastQuery] = answers
		numbered := query
		numbered.Sequence = c.lastQuery
		numbered.Slots = toCollector.slots
		if toCollector.collector == n.self {
			n.deliverAnswer(c, c.collector.Answer(n.clock.Now(), numbered, c.store, n.Members(), n.settings.DataCentre))
			continue
		}
		n.send(c, string(toCollector.collector), sdgossip.Datagram{Query: &numbered})
	}
	return sent
}

// deliverAnswer passes an answer to the query that waits for it. A duplicate or
// late answer is dropped, so that each answer counts once.
func (n *Node) deliverAnswer(c *control, answer sdconfig.Answer) {
	answers := c.pendingQueries[answer.Sequence]
	if answers == nil {
		return
	}
	delete(c.pendingQueries, answer.Sequence)
	answers <- answer
}

// countUnreachable counts the nodes of an unanswered query as unreachable.
func (n *Node) countUnreachable(unanswered collectorQuery, total *sdconfig.Answer) {
	slots := make(map[int]bool, len(unanswered.slots))
	for _, slot := range unanswered.slots {
		slots[slot] = true
	}
	for _, member := range n.Members() {
		live := member.State == savorydeal.MemberAlive || member.State == savorydeal.MemberSuspect
		if live && member.DataCentre == unanswered.dataCentre && slots[sdconfig.SlotOf(member.Node)] {
			total.AddUnreachable(member.Node)
		}
	}
}
