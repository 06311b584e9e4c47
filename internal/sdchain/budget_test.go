package sdchain

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Whatever parallel branches and a node's own retries do, and in whatever order
// their answers come or are lost, a request never spends more than its budget.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.IntRange(0, 16).Draw(t, "granted")
		budget := NewBudget(all)
		spent, out := 0, []int{}
		steps := rapid.SliceOfN(rapid.IntRange(0, 3), 0, 40).Draw(t, "steps")
		for _, step := range steps {
			switch {
			case step == 0 && budget.TakeRetry():
				spent++
			case step == 1:
				out = append(out, budget.Grant())
			case step >= 2 && len(out) > 0:
				granted := out[0]
				out = out[1:]
				below := rapid.IntRange(0, granted).Draw(t, "spent below")
				spent += below
				if step == 3 {
					// The answer was lost: what is unknown counts as spent.
					spent += granted - below
					continue
				}
				budget.Return(granted, below)
			}
		}
		away := 0
		for _, granted := range out {
			away += granted
		}
		if spent+away != budget.Spent() || budget.Spent() > all {
			t.Fatalf("%d spent, %d away, budget of %d says %d", spent, away, all, budget.Spent())
		}
	})
}

// Two branches that run side by side cannot both spend the same remainder.
func TestBranchesShareOneBudget(t *testing.T) {
	is := is.New(t)
	budget := NewBudget(3)
	is.Equal(budget.Grant(), 2)
	is.Equal(budget.Grant(), 1)
	is.Equal(budget.Grant(), 0)
	is.True(!budget.TakeRetry())
	budget.Return(2, 1)
	is.True(budget.TakeRetry())
	is.Equal(budget.Spent(), 3)
}
