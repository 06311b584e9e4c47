// Package sdquota keeps the quotas of client accounts over all nodes. Each account has one
// owner, a node that keeps the account's token bucket and grants tokens to the other nodes
// on leases. The package does no I/O: the caller passes in the time, the members and the
// received messages, and sends the messages that it gets back.
package sdquota

import (
	"time"

	"github.com/savorydeal/savorydeal"
)

const (
	// LeaseTime is how long a node may use tokens that it has asked for ahead. The node
	// measures it from its request, the owner from the grant.
	LeaseTime = time.Second
	// immediateTime is how long a node may use tokens that it has asked for on behalf of
	// waiting requests. The owner counts them as used when it grants them, which moves
	// their use by at most this time; otherwise a small burst would be outstanding for a
	// whole lease after each request.
	immediateTime = 100 * time.Millisecond
	// MaxWait is how long a request waits for a token.
	MaxWait = 60 * time.Millisecond
	// resendAfter and maxSends govern a token request without an answer.
	resendAfter = 30 * time.Millisecond
	maxSends    = 3
	// minInterval is the shortest time between two token requests of a node for an account.
	minInterval = 10 * time.Millisecond
	// aheadInterval is how long a node does not ask ahead again after the owner has
	// granted less than it asked for.
	aheadInterval = 100 * time.Millisecond
	// demandTime is the time over which the demand is averaged, and for whose demand a node
	// asks ahead.
	demandTime = 500 * time.Millisecond
	// minAheadDemand is the least demand for which a node asks ahead. Many nodes with a
	// request now and then would otherwise hold all tokens of a small quota unused.
	minAheadDemand = 2

	// redirectTime is how long a node asks the owner that another node has named, before it
	// asks the owner in its own view again.
	redirectTime = time.Second

	// TakeoverWait is how long a new owner waits before it grants, unless the previous
	// owner has left by plan or has handed the account over. Other nodes have to learn of
	// the change within this time.
	TakeoverWait = time.Second
	// lossMemory is how long a member that was lost without a planned stop counts as a
	// possible part of the other side of a network partition.
	lossMemory = 60 * time.Second
	// viewWait is how long a process that has started, or has just found another member,
	// waits for further members: it may not be the owner that it takes itself for. A new
	// process gets a whole view with one exchange.
	viewWait = 300 * time.Millisecond
	// startTime is the time after the start of a process in which each new member delays
	// its grants by viewWait, and in which it grants nothing if it knows no other member.
	startTime = 5 * time.Second
	// pauseThreshold is the time without any event after which an owner has no tokens left,
	// since its process may have been suspended. replacedThreshold is the time after which
	// another node may have become the owner.
	pauseThreshold    = time.Second
	replacedThreshold = 4 * time.Second
	// overdraft is the time for which an owner grants tokens in advance to requests that
	// wait, so that a node that asks every few milliseconds gets the whole rate of a quota
	// with a small burst.
	overdraft = 25 * time.Millisecond
	// perClientWait bounds the token requests for an account that its owner gets under
	// overload, from all nodes, to 4,000 a second.
	perClientWait = 250 * time.Microsecond
	// leaseMemory is how long an owner remembers a node after its last token request.
	leaseMemory = 2 * time.Second
)

// MaxItems bounds the requests or grants in one datagram, so that it needs no IP
// fragmentation.
const MaxItems = 20

// Tolerance is how much more than its quota an account may use: a share of the quota, and a
// number of requests.
type Tolerance struct {
	Excess, Slack float64
}

// Process identifies one run of a node's process.
type Process struct {
	Node       savorydeal.NodeID
	Generation uint64
}

// Request asks the owner of an account for tokens.
type Request struct {
	Account string
	// Sequence grows with each request of a process for the account. A request that is
	// sent again has the same.
	Sequence uint64
	// Waiting is the number of requests that wait for tokens, Ahead the number of tokens
	// for further ones.
	Waiting, Ahead int
	// Held is the number of unused tokens that the node has asked for ahead. Grants that
	// had not arrived when the request was first sent are never used.
	Held int
	// Demand is the sender's demand in requests per second, Used the number of tokens of its
	// standing share that it has used since it last told the owner.
	Demand, Used int
	// Takeover asks the previous owner of the account for its state instead of for tokens.
	Takeover bool
}

// Grant is the owner's answer to a Request.
type Grant struct {
	Account  string
	Sequence uint64
	// Waiting and Ahead are the numbers of tokens granted.
	Waiting, Ahead int
	// Standing is the standing share of the sender of the request, in tokens per second.
	Standing float64
	// Wait is the time until the owner expects to have a further token.
	Wait time.Duration
	// Starting is true if the receiver of the request is not ready to grant tokens.
	Starting bool
	// Owner names the owner in the view of the receiver of the request, if it is another.
	Owner savorydeal.NodeID
	// Takeover is true in the answer of a previous owner: Available and Outstanding are its
	// state, which the sender of the request takes over.
	Takeover               bool
	Available, Outstanding int
}

// Tokens is what one datagram carries: requests to the owner of accounts, or its answers.
type Tokens struct {
	// Generation is that of the sender's process, Members the number of members among which
	// it divides quotas.
	Generation uint64
	Members    int
	Requests   []Request
	Grants     []Grant
}

// Verdict is the result of a request that needs a token.
type Verdict string

const (
	// VerdictGranted means that the request has a token.
	VerdictGranted Verdict = "granted"
	// VerdictNoRoom means that the account has used its quota.
	VerdictNoRoom Verdict = "no_room"
	// VerdictUnreachable means that the owner does not answer, and that the standing share and
	// the reserve are used up.
	VerdictUnreachable Verdict = "unreachable"
)
