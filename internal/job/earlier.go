package job

import (
	"cmp"
	"slices"
)

// EarlierText is what an ended job holds of an item that a later job has too.
type EarlierText struct {
	IsWhole bool
	Text    string  // the whole text
	Partial Partial // the beginning of the text; only its versions are set if the text is whole
}

// Earlier returns what ended jobs hold of the items of a job, by item ID: the groups that a
// trainer did not get complete may come again in a later job, with the same IDs. An item of
// which nothing was generated has an empty entry.
func (le *Ledger) Earlier(sp *Spec) map[string]EarlierText {
	items := make(map[string]*Item, len(sp.Items))
	for i := range sp.Items {
		items[sp.Items[i].ID] = &sp.Items[i]
	}
	out := map[string]EarlierText{}
	for _, jo := range le.endedLike(sp) {
		// same returns the item of the new job that asks for the same text as an item of jo.
		same := func(i int) *Item {
			old := &jo.Spec.Items[i]
			if it := items[old.ID]; it != nil && it.isSame(old) {
				return it
			}

			return nil
		}
		for i := range jo.Spec.Items {
			it := same(i)
			if it == nil {
				continue
			}
			if pa, ok := jo.Partial[i]; ok {
				out[it.ID] = EarlierText{Partial: pa}
			} else if _, ok := out[it.ID]; !ok {
				out[it.ID] = EarlierText{}
			}
		}
		for _, re := range jo.Results {
			if it := same(re.Item); it != nil && re.State == Completed {
				out[it.ID] = EarlierText{IsWhole: true, Text: re.Text, Partial: Partial{Versions: re.Versions}}
			}
		}
	}

	return out
}

// endedLike returns the ended jobs that may hold texts of a job's items, in the order in which
// they ended.
func (le *Ledger) endedLike(sp *Spec) []*Job {
	var out []*Job
	for _, jo := range le.jobs {
		if !jo.IsOpen() && jo.Spec.Workspace == sp.Workspace && jo.Spec.Host == sp.Host && jo.Spec.Model == sp.Model {
			out = append(out, jo)
		}
	}
	slices.SortFunc(out, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(a.EndedMs, b.EndedMs), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})

	return out
}

// isSame reports whether two items with one ID ask for the same text. The headers and the body
// of a listed item are not stored any more.
func (it *Item) isSame(old *Item) bool {
	return it.Path == old.Path && it.Group == old.Group && it.Tokens == old.Tokens
}
