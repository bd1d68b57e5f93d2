package stepplan_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/stepplan"
)

var _ = ginkgo.Describe("the steps under shortage", func() {
	now := time.Unix(1000, 0)
	// step has groups of one second each, all waiting.
	step := func(id string, groups int, change func(st *stepplan.Step)) stepplan.Step {
		st := stepplan.Step{ID: id, Due: now.Add(5 * time.Second), LatestStart: now.Add(4 * time.Second), PlacedAt: now, Total: groups}
		for range groups {
			st.Groups = append(st.Groups, stepplan.Group{Waiting: 1, Longest: 0.5})
		}
		if change != nil {
			change(&st)
		}

		return st
	}
	urgency := func(n int) func(st *stepplan.Step) { return func(st *stepplan.Step) { st.Urgency = n } }
	dueIn := func(d time.Duration) func(st *stepplan.Step) {
		return func(st *stepplan.Step) { st.Due = now.Add(d) }
	}
	order := func(turns map[string]stepplan.Turn) []string {
		var out []string
		for id, tu := range turns {
			if tu.Yields {
				id += " yields"
			}
			out = append(out, id)
		}
		id := func(s string) string { return s[:1] }
		slices.SortFunc(out, func(a, b string) int {
			x, y := turns[id(a)], turns[id(b)]

			return cmp.Compare(fmt.Sprint(x.Yields, x.Position), fmt.Sprint(y.Yields, y.Position))
		})

		return out
	}

	for _, tc := range []struct {
		name  string
		steps []stepplan.Step
		want  []string // nil: no shortage
	}{
		{"keep the order by latest start where all fit", []stepplan.Step{step("a", 15, nil), step("b", 20, urgency(1))}, nil},
		{"keep it where a step is late for another reason than shortage", []stepplan.Step{step("a", 1, dueIn(-time.Second)), step("b", 20, nil)}, nil},
		{"let the one that does not fit yield", []stepplan.Step{step("a", 60, nil), step("b", 30, nil)}, []string{"b", "a yields"}},
		{"go by urgency", []stepplan.Step{step("a", 30, urgency(1)), step("b", 30, nil)}, []string{"b", "a yields"}},
		{"go by the share of their workspaces", []stepplan.Step{step("a", 30, func(st *stepplan.Step) { st.Excess = 1.5 }), step("b", 30, nil)}, []string{"b", "a yields"}},
		{"do not go by noise of the use", []stepplan.Step{step("a", 30, func(st *stepplan.Step) { st.Excess = 0.02 }), step("b", 30, nil)}, []string{"a", "b yields"}},
		{"go by latest start", []stepplan.Step{step("a", 30, nil), step("b", 30, func(st *stepplan.Step) { st.LatestStart = now })}, []string{"b", "a yields"}},
		{"give what a step that yields leaves to the next", []stepplan.Step{step("a", 60, nil), step("b", 20, urgency(1)), step("c", 20, urgency(2))}, []string{"b", "c", "a yields"}},
		{"need nine groups of ten", []stepplan.Step{step("a", 30, func(st *stepplan.Step) { st.Groups[0].Waiting = 99 }), step("b", 10, urgency(1))}, []string{"a", "b"}},
		{"count the running texts of others", []stepplan.Step{step("a", 30, nil), step("b", 10, func(st *stepplan.Step) { st.Urgency, st.Groups[0].Running = 1, 20 })}, []string{"b", "a yields"}},
	} {
		ginkgo.It(tc.name, func() {
			turns := stepplan.Plan(now, tc.steps, 10)
			if tc.want == nil {
				Expect(turns).To(BeNil())

				return
			}
			Expect(order(turns)).To(Equal(tc.want))
		})
	}

	ginkgo.It("let each step that yields place a text from time to time, the one that has waited longest first", func() {
		placed := func(d time.Duration) func(st *stepplan.Step) {
			return func(st *stepplan.Step) { st.PlacedAt = now.Add(-d) }
		}
		turns := stepplan.Plan(now, []stepplan.Step{step("a", 60, placed(time.Second)), step("b", 60, placed(2*time.Second)), step("c", 60, placed(0))}, 10)
		Expect(turns["b"].IsNext).To(BeTrue())
		Expect(turns["a"].IsNext || turns["c"].IsNext).To(BeFalse())
	})

	ginkgo.It("order their texts: whole steps before parts, groups that came again first", func() {
		text := func(position int, change func(te *stepplan.Text)) stepplan.Text {
			te := stepplan.Text{Turn: stepplan.Turn{Position: position}, LatestStart: now}
			if change != nil {
				change(&te)
			}

			return te
		}
		want := []stepplan.Text{
			text(1, func(te *stepplan.Text) { te.IsBegun = true }),
			text(0, func(te *stepplan.Text) { te.IsCarriedOver, te.LatestStart = true, now.Add(time.Second) }),
			text(0, nil),
			text(1, func(te *stepplan.Text) { te.LatestStart = now.Add(-time.Second) }),
			text(0, func(te *stepplan.Text) { te.Yields, te.IsBegun = true, true }),
			text(0, func(te *stepplan.Text) { te.Yields = true }),
		}
		got := slices.Clone(want)
		slices.Reverse(got)
		slices.SortFunc(got, stepplan.Text.Compare)
		Expect(got).To(Equal(want))
	})

	// The steps of three trainers, of which the most urgent has the longest texts in total.
	for _, load := range []float64{0.9, 1.2, 1.28} {
		ginkgo.It(fmt.Sprintf("of three trainers are complete more often than in the order by latest start, the urgent ones first, at a load of %.0f%%", load*100), func() {
			before, after := trial{load: load}, trial{load: load, isPlanned: true}
			for seed := range uint64(2) {
				before.run(seed)
				after.run(seed)
			}
			ginkgo.GinkgoWriter.Printf("load %.2f: before %v, after %v\n", load, &before, &after)
			if load < 1 {
				Expect(after.inTime).To(Equal(before.inTime), "nothing changes without shortage")

				return
			}
			Expect(after.share(1)).To(BeNumerically(">", 0.95), "the most urgent trainer: %v", &after)
			Expect(after.whole).To(BeNumerically(">=", before.whole), "steps that trainers could use: %v instead of %v", &after, &before)
		})
	}

	ginkgo.It("are all completed in the end, also those that yielded", func() {
		tr := trial{load: 1.3, isPlanned: true, keepsJobs: true}
		tr.run(1)
		Expect(tr.late).To(BeZero())
	})

	ginkgo.It("that yield get a slot from time to time while shortage goes on", func() {
		tr := trial{load: 1.5, isPlanned: true, keepsJobs: true}
		tr.run(1)
		Expect(tr.longestPause).To(BeNumerically("<", trialDue), "a step may wait for its turn until it is due")
	})
})

// trial generates the steps of three trainers for a minute with a fixed number of slots.
type trial struct {
	load      float64 // work by capacity
	isPlanned bool
	keepsJobs bool // trainers wait for each step without end

	inTime [3]int // groups complete when due, by trainer
	groups [3]int
	whole  int // steps with enough groups when due
	steps  int
	late   int // groups that were not complete in the end

	longestPause float64 // seconds in which a step had waiting texts and placed none, while steps are submitted
}

func (tr *trial) share(trainer int) float64 {
	return float64(tr.inTime[trainer]) / float64(tr.groups[trainer])
}

func (tr *trial) String() string {
	return fmt.Sprintf("%d of %d steps whole, groups in time %.3f %.3f %.3f", tr.whole, tr.steps, tr.share(0), tr.share(1), tr.share(2))
}

type trialText struct {
	step        *trialStep
	group       int
	estimate    float64 // seconds
	actual      float64
	startedAt   float64 // -1 while it waits
	latestStart float64
}

type trialStep struct {
	id       string
	trainer  int
	urgency  int
	arrived  float64
	due      float64
	placedAt float64
	texts    []*trialText
	left     []int // texts of each group that are not complete
	total    int
	inTime   int
}

const (
	trialSlots  = 60
	trialPeriod = 4.0 // seconds between two steps of a trainer
	trialDue    = 7.5
	trialSteps  = 10
	trialTick   = 0.1
	trialEnd    = 12.0 // seconds after its submission at which a trainer ends a job
	maxLength   = 8.0  // times the median
)

func (tr *trial) run(seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 7))
	shapes := [3]struct{ groups, texts, urgency int }{{6, 16, 1}, {18, 8, 0}, {17, 8, 1}}
	sum := 0.0
	var all, open []*trialStep
	for n := range trialSteps {
		for trainer, sh := range shapes {
			at := float64(n)*trialPeriod + float64(trainer)*0.7
			st := &trialStep{id: fmt.Sprintf("%d-%02d", trainer, n), trainer: trainer, urgency: sh.urgency, arrived: at, due: at + trialDue, placedAt: at, total: sh.groups}
			for g := range sh.groups {
				st.left = append(st.left, sh.texts)
				for range sh.texts {
					length := math.Exp(0.9 * rnd.NormFloat64())
					if rnd.Float64() < 0.08 {
						length *= 5
					}
					length = min(length, maxLength)
					sum += length
					st.texts = append(st.texts, &trialText{step: st, group: g, actual: length, estimate: length * math.Exp(0.4*rnd.NormFloat64()), startedAt: -1})
				}
			}
			all = append(all, st)
		}
	}
	for _, st := range all {
		for _, te := range st.texts {
			te.actual *= tr.load * trialSlots * trialPeriod * trialSteps / sum
			te.estimate *= tr.load * trialSlots * trialPeriod * trialSteps / sum
		}
	}
	slices.SortFunc(all, func(a, b *trialStep) int { return cmp.Compare(a.arrived, b.arrived) })
	tr.steps += len(all)
	coming := all
	running := 0
	end := trialSteps*trialPeriod + trialEnd
	if tr.keepsJobs {
		end *= 2
	}
	for now := 0.0; now < end; now += trialTick {
		for len(coming) > 0 && coming[0].arrived <= now {
			open, coming = append(open, coming[0]), coming[1:]
		}
		for _, st := range open {
			st.texts = slices.DeleteFunc(st.texts, func(te *trialText) bool {
				if te.startedAt < 0 || now-te.startedAt < te.actual {
					return false
				}
				running--
				if st.left[te.group]--; st.left[te.group] == 0 && now <= st.due {
					st.inTime++
				}

				return true
			})
		}
		open = slices.DeleteFunc(open, func(st *trialStep) bool {
			if !tr.keepsJobs && now > st.arrived+trialEnd {
				for _, te := range st.texts {
					if te.startedAt >= 0 {
						running--
					}
				}

				return true
			}

			return len(st.texts) == 0
		})
		if running == trialSlots {
			continue
		}
		for _, te := range tr.order(now, open) {
			if running == trialSlots {
				break
			}
			if now < trialSteps*trialPeriod {
				tr.longestPause = max(tr.longestPause, now-te.step.placedAt)
			}
			te.startedAt, te.step.placedAt = now, now
			running++
		}
	}
	for _, st := range all {
		tr.inTime[st.trainer] += st.inTime
		tr.groups[st.trainer] += st.total
		if float64(st.inTime) >= 0.9*float64(st.total) {
			tr.whole++
		}
		for _, left := range st.left {
			if left > 0 {
				tr.late++
			}
		}
	}
}

func trialTime(s float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second)))
}

// order returns the waiting texts in the order in which they are placed.
func (tr *trial) order(now float64, open []*trialStep) []*trialText {
	var waits []*trialText
	var steps []stepplan.Step
	for _, st := range open {
		ps := stepplan.Step{ID: st.id, Urgency: st.urgency, Due: trialTime(st.due), LatestStart: trialTime(st.due), PlacedAt: trialTime(st.placedAt), Total: st.total}
		groups := make([]stepplan.Group, st.total)
		for _, te := range st.texts {
			gr := &groups[te.group]
			if te.startedAt < 0 {
				te.latestStart = st.due - te.estimate
				waits = append(waits, te)
				gr.Waiting += te.estimate
				gr.Longest = max(gr.Longest, te.estimate)
				if at := trialTime(te.latestStart); at.Before(ps.LatestStart) {
					ps.LatestStart = at
				}
			} else {
				rest := stepplan.Remaining(te.estimate, now-te.startedAt)
				gr.Running += rest
				gr.Longest = max(gr.Longest, rest)
			}
		}
		for g, left := range st.left {
			if left > 0 {
				ps.Groups = append(ps.Groups, groups[g])
			}
		}
		steps = append(steps, ps)
	}
	var turns map[string]stepplan.Turn
	if tr.isPlanned && len(waits) > 0 {
		turns = stepplan.Plan(trialTime(now), steps, trialSlots)
	}
	slices.SortFunc(waits, func(a, b *trialText) int {
		x := stepplan.Text{Turn: turns[a.step.id], LatestStart: trialTime(a.latestStart)}
		y := stepplan.Text{Turn: turns[b.step.id], LatestStart: trialTime(b.latestStart)}

		return cmp.Or(x.Compare(y), cmp.Compare(a.step.id, b.step.id))
	})
	for i, te := range waits {
		if turns[te.step.id].IsNext {
			waits = slices.Insert(slices.Delete(waits, i, i+1), 0, te)

			break
		}
	}

	return waits
}
