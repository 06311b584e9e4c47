package sdaccount

import "github.com/savorydeal/savorydeal"

// Rank returns the rank of a request: a lower one is more important. The account's
// priority goes before the route's. Without an account, which is nil then, the rank is
// the route's priority, as if the account had the priority 0.
func Rank(account *savorydeal.Account, route *savorydeal.Route) int {
	if account == nil {
		return route.Priority
	}
	return account.Priority*savorydeal.RoutePriorities + route.Priority
}

// Ranks returns all ranks that requests of a configuration can have, in any order and
// some of them repeatedly.
func Ranks(config *savorydeal.RouteConfig) []int {
	// Most accounts share one of a few priorities.
	byPriority := make(map[int]*savorydeal.Account)
	for i, account := range config.Accounts {
		byPriority[account.Priority] = &config.Accounts[i]
	}
	var ranks []int
	for i := range config.Routes {
		route := &config.Routes[i]
		if route.Public || len(byPriority) == 0 {
			ranks = append(ranks, Rank(nil, route))
			continue
		}
		for _, account := range byPriority {
			ranks = append(ranks, Rank(account, route))
		}
	}
	return ranks
}
