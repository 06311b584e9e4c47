package sdgossip

import (
	"math"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdpeerpb"
	"github.com/savorydeal/savorydeal/internal/sdquota"
)

func encodeTokens(tokens *sdquota.Tokens) *sdpeerpb.Tokens {
	encoded := &sdpeerpb.Tokens{Generation: tokens.Generation, Members: encodeCount(tokens.Members)}
	for _, request := range tokens.Requests {
		encoded.Requests = append(encoded.Requests, &sdpeerpb.TokenRequest{
			Account: request.Account, Sequence: request.Sequence, Waiting: encodeCount(request.Waiting), Ahead: encodeCount(request.Ahead),
			Held: encodeCount(request.Held), Takeover: request.Takeover,
			Demand: encodeCount(request.Demand), Used: encodeCount(request.Used),
		})
	}
	for _, grant := range tokens.Grants {
		encoded.Grants = append(encoded.Grants, &sdpeerpb.TokenGrant{
			Account: grant.Account, Sequence: grant.Sequence, Waiting: encodeCount(grant.Waiting), Ahead: encodeCount(grant.Ahead),
			WaitNs: int64(grant.Wait), Starting: grant.Starting, Owner: string(grant.Owner),
			Takeover: grant.Takeover, Available: int64(grant.Available), Outstanding: encodeCount(grant.Outstanding),
			StandingMilli: encodeCount(int(min(grant.Standing*standingUnits, math.MaxInt32))),
		})
	}
	return encoded
}

func decodeTokens(encoded *sdpeerpb.Tokens) *sdquota.Tokens {
	tokens := &sdquota.Tokens{Generation: encoded.GetGeneration(), Members: int(encoded.GetMembers())}
	for _, request := range encoded.GetRequests() {
		tokens.Requests = append(tokens.Requests, sdquota.Request{
			Account: request.GetAccount(), Sequence: request.GetSequence(), Waiting: int(request.GetWaiting()), Ahead: int(request.GetAhead()),
			Held: int(request.GetHeld()), Takeover: request.GetTakeover(),
			Demand: int(request.GetDemand()), Used: int(request.GetUsed()),
		})
	}
	for _, grant := range encoded.GetGrants() {
		tokens.Grants = append(tokens.Grants, sdquota.Grant{
			Account: grant.GetAccount(), Sequence: grant.GetSequence(), Waiting: int(grant.GetWaiting()), Ahead: int(grant.GetAhead()),
			Wait: time.Duration(grant.GetWaitNs()), Starting: grant.GetStarting(), Owner: savorydeal.NodeID(grant.GetOwner()),
			Takeover: grant.GetTakeover(), Available: int(grant.GetAvailable()), Outstanding: int(grant.GetOutstanding()),
			Standing: float64(grant.GetStandingMilli()) / standingUnits,
		})
	}
	return tokens
}

// standingUnits is the number of units on the wire of one token per second.
const standingUnits = 1000

// encodeCount returns a count of at least 0 within the range of the field.
func encodeCount(count int) uint32 {
	return uint32(min(max(0, count), math.MaxInt32))
}
