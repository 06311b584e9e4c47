package sddeparture

import (
	"slices"
	"time"

	"github.com/savorydeal/savorydeal"
)

// Merge adds the known departures that hold to those that the store has, and reports whether
// the store lacks any. It removes no departure of the store that holds: if there are too many,
// the earliest of the added ones are left out.
func Merge(now time.Time, stored, known []savorydeal.Departure) (merged []savorydeal.Departure, changed bool) {
	expired := func(d savorydeal.Departure) bool { return Expired(now, d) }
	merged = slices.DeleteFunc(slices.Clone(stored), expired)
	var missing []savorydeal.Departure
	for _, departure := range known {
		if !expired(departure) && departure.Start.Identity != "" && !covers(merged, departure) && !covers(missing, departure) {
			missing = append(missing, departure)
		}
	}
	slices.SortStableFunc(missing, func(a, b savorydeal.Departure) int { return a.LeftAt.Compare(b.LeftAt) })
	missing = missing[max(0, len(missing)+len(merged)-maxPerVM):]
	return append(merged, missing...), len(missing) > 0
}

// covers reports whether departures hold all that a further one would bind.
func covers(departures []savorydeal.Departure, departure savorydeal.Departure) bool {
	return slices.ContainsFunc(departures, func(d savorydeal.Departure) bool {
		return d.Start == departure.Start || departure.Start.Started != 0 && d.Binds(departure.Start)
	})
}
