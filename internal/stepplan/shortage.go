package stepplan

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// neededShare is the part of a step's groups that a trainer needs to go on.
	neededShare = 0.9
	// workMargin is how many times its estimated work a step is expected to need: the estimates
	// are medians. In the trial of the test at a load of 120%, 1.3 gave 123 whole steps of 225, 1.1 gave
	// 118 and 1.0 gave 107.
	workMargin = 1.3
	// longestShare is the part of the estimated length of its longest text that a step must have
	// time for. The longest of many estimates is mostly too long: with all of it, 84% of the urgent
	// groups of the trial were in time, with half of it 98%.
	longestShare = 0.5
	// excessStep is the difference of use by share below which two workspaces are equal: a step
	// has this granularity if a workspace has ten steps in the time over which use is counted.
	excessStep = 0.1
	// maxYieldPause is how long a step that yields waits before one of its texts is placed
	// nevertheless. A trainer that waits for a few groups of a late step gets them in seconds.
	maxYieldPause = 500 * time.Millisecond
)

// Group is a group of a step that is not complete. Its work is in seconds of one slot.
type Group struct {
	Waiting float64 // of the texts that wait for a slot
	Running float64 // rest of the texts that run
	Longest float64 // rest of the longest text
}

// Step is a step with texts that wait for a slot.
type Step struct {
	ID          string
	Urgency     int       // 0 is the most urgent
	Excess      float64   // use of its workspace by share, as of the arrival of the step
	Due         time.Time // when its texts are due
	LatestStart time.Time // the earliest of its waiting texts
	PlacedAt    time.Time // when a text of it was placed last, its arrival before the first
	Total       int       // number of groups, with the complete ones
	Groups      []Group
}

// Turn is the place of a step's waiting texts under shortage.
type Turn struct {
	Yields   bool // it can't be completed in time, or only at the cost of steps before it
	IsNext   bool // it has yielded for so long that one of its texts goes first
	Position int  // in the order of steps, 0 is the first
}

// Plan returns the turn of each step, by ID, if the slots don't suffice to complete all steps in
// time: whole steps come before parts of many. It returns nil without shortage, as the order by
// the latest start then completes every step. slots is the number of texts that run at once.
func Plan(now time.Time, steps []Step, slots float64) map[string]Turn {
	ahead := 0.0 // running texts are not stopped for others
	for i := range steps {
		for _, gr := range steps[i].Groups {
			ahead += gr.Running
		}
	}
	if slots <= 0 || fitInOrder(now, steps, ahead, slots) {
		return nil
	}

	order := make([]*Step, len(steps))
	for i := range steps {
		order[i] = &steps[i]
	}
	slices.SortFunc(order, func(a, b *Step) int {
		return cmp.Or(
			cmp.Compare(a.Urgency, b.Urgency), cmp.Compare(excessLevel(a.Excess), excessLevel(b.Excess)),
			a.LatestStart.Compare(b.LatestStart), cmp.Compare(a.ID, b.ID),
		)
	})
	var chosen []need
	var yields []*Step
	for _, st := range order {
		ne := st.need()
		at, _ := slices.BinarySearchFunc(chosen, ne, need.compare)
		with := slices.Insert(slices.Clone(chosen), at, ne)
		if fit(now, with, ahead, slots) {
			chosen = with
		} else {
			yields = append(yields, st)
		}
	}

	out := make(map[string]Turn, len(order))
	for i, ne := range chosen {
		out[ne.step.ID] = Turn{Position: i}
	}
	longest := 0 // index of the step that has yielded for the longest time
	for i, st := range yields {
		out[st.ID] = Turn{Position: len(chosen) + i, Yields: true}
		if st.PlacedAt.Before(yields[longest].PlacedAt) {
			longest = i
		}
	}
	if len(yields) > 0 && now.Sub(yields[longest].PlacedAt) > maxYieldPause {
		tu := out[yields[longest].ID]
		tu.IsNext = true
		out[yields[longest].ID] = tu
	}

	return out
}

func excessLevel(excess float64) float64 { return math.Round(excess / excessStep) }

// fitInOrder reports whether all steps that could be completed in time alone are complete in
// time in the order in which they are due.
func fitInOrder(now time.Time, steps []Step, ahead, slots float64) bool {
	order := slices.Clone(steps)
	slices.SortFunc(order, func(a, b Step) int { return a.Due.Compare(b.Due) })
	for i := range order {
		longest := 0.0
		for _, gr := range order[i].Groups {
			ahead += gr.Waiting
			longest = max(longest, gr.Longest)
		}
		left := order[i].Due.Sub(now).Seconds()
		if longest <= left && ahead*workMargin > left*slots {
			return false
		}
	}

	return true
}

// need is the waiting work that completes a step.
type need struct {
	step    *Step
	work    float64 // seconds of one slot
	longest float64 // seconds of the longest text
}

// compare orders the steps that can be completed: among equally urgent ones, the one that is due
// first goes first, so that most of them fit.
func (ne need) compare(other need) int {
	a, b := ne.step, other.step

	return cmp.Or(cmp.Compare(a.Urgency, b.Urgency), a.Due.Compare(b.Due), cmp.Compare(a.ID, b.ID))
}

// fit reports whether all steps are complete in time in this order.
func fit(now time.Time, needs []need, ahead, slots float64) bool {
	for _, ne := range needs {
		ahead += ne.work
		left := ne.step.Due.Sub(now).Seconds()
		if ahead*workMargin > left*slots || ne.longest*longestShare > left {
			return false
		}
	}

	return true
}

// need returns what the step needs: the groups with the least work of those that are not
// complete. If it has enough already, all others count.
func (st *Step) need() need {
	groups := st.Groups
	missing := int(math.Ceil(neededShare*float64(st.Total))) - (st.Total - len(groups))
	if missing > 0 && missing < len(groups) {
		groups = slices.Clone(groups)
		slices.SortFunc(groups, func(a, b Group) int { return cmp.Compare(a.Waiting+a.Running, b.Waiting+b.Running) })
		groups = groups[:missing]
	}
	out := need{step: st}
	for _, gr := range groups {
		out.work += gr.Waiting
		out.longest = max(out.longest, gr.Longest)
	}

	return out
}

// Text is a waiting text under shortage.
type Text struct {
	Turn
	IsBegun       bool // may continue at some backend servers only
	IsCarriedOver bool // its group came again from an earlier step
	LatestStart   time.Time
}

// Compare orders texts under shortage: the steps that can be completed before those that yield,
// begun texts first among each, then step by step. Within a step, groups that came again are
// first.
func (te Text) Compare(other Text) int {
	return cmp.Or(
		compareBool(te.Yields, other.Yields), compareBool(other.IsBegun, te.IsBegun), cmp.Compare(te.Position, other.Position),
		compareBool(other.IsCarriedOver, te.IsCarriedOver), te.LatestStart.Compare(other.LatestStart),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}

	return 1
}
