package savorydeal

// RoutePriorities is the number of route priorities that a configuration with accounts may
// use, from 0. The rank of a request is its account's priority times this number plus its
// route's priority, so that the account's priority always goes first.
const RoutePriorities = 1 << 16

// MaxAccountPriority is the least important priority of an account, far within the range
// that ranks need.
const MaxAccountPriority = 1 << 30

// Account is a client account of the configuration, with the API keys that identify it.
type Account struct {
	Name string
	// Keys are the API keys that are valid for the account.
	Keys []string
	// Priority is the importance of the account's requests; 0 is the most important. It
	// goes before the priority of a route.
	Priority int
	Quota    Quota
}

// Quota limits the requests of an account over all nodes together.
type Quota struct {
	// Rate is the number of requests allowed in a second, 0 for no limit.
	Rate float64
	// Burst is the number of requests allowed in addition after a pause.
	Burst float64
}

// Limited reports whether the quota limits anything.
func (q Quota) Limited() bool { return q.Rate > 0 }
