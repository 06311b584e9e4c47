package sdnode

import (
	"time"

	"github.com/savorydeal/savorydeal/internal/sdpoison"
)

// keysDump is the dump section of the idempotency keys that this node decides on.
type keysDump struct {
	Records         int  `json:"held"`
	Running         int  `json:"running"`
	PartitionsOwned int  `json:"parts_owned"`
	Frozen          bool `json:"frozen"`
}

// runsDump is the dump section of the runs on this VM's target.
type runsDump struct {
	// Wasted counts the runs that ended after their caller had disconnected or their
	// deadline had passed.
	Wasted int64 `json:"wasted"`
}

func (n *Node) dumpKeys() keysDump {
	return keysDump{
		Records:         n.owner.RecordCount(),
		Running:         n.owner.Running(),
		PartitionsOwned: n.owner.LeaseCount(),
		Frozen:          n.owner.Frozen(),
	}
}

// poisonDump is the dump entry of one request that has crashed a target.
type poisonDump struct {
	Fingerprint string `json:"fingerprint"`
	Service     string `json:"service"`
	Method      string `json:"method"`
	Path        string `json:"path"`
	Crashes     int    `json:"crashes"`
	Blocked     bool   `json:"blocked"`
	Until       string `json:"until"`
}

func dumpPoison(entries []sdpoison.Entry) []poisonDump {
	dumps := []poisonDump{}
	for _, entry := range entries {
		dumps = append(dumps, poisonDump{
			Fingerprint: entry.Fingerprint.String(),
			Service:     entry.Service,
			Method:      entry.Method,
			Path:        entry.Path,
			Crashes:     entry.Crashes,
			Blocked:     entry.Blocked,
			Until:       entry.Until.UTC().Format(time.RFC3339),
		})
	}
	return dumps
}

// unknownOutcomesDump is the dump section of the unknown outcomes recorded at this node.
type unknownOutcomesDump struct {
	Added   int64 `json:"seen"`
	Pending int   `json:"waiting"`
	Dropped int64 `json:"dropped"`
}

func (n *Node) dumpUnknownOutcomes() unknownOutcomesDump {
	added, dropped := n.unknownOutcomes.Counts()
	return unknownOutcomesDump{Added: added, Pending: len(n.unknownOutcomes.Pending()), Dropped: dropped}
}
