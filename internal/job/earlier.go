package job

// EarlierText is what an ended job holds of an item that a later job has too.
type EarlierText struct {
	IsWhole bool
	Text    string  // the whole text
	Partial Partial // the beginning of the text; only its versions are set if the text is whole
}

// Earlier returns what ended jobs hold of the items of a job, by item ID: the groups that a
// trainer did not get complete may come again in a later job, with the same IDs. An item of
// which nothing was generated has an empty entry.
func (le *Ledger) Earlier(sp *Spec) map[string]EarlierText { return Earlier(le.EndedLike(sp), sp) }

// Earlier returns what the jobs of Ledger.EndedLike hold of the items of a job.
func Earlier(ended []*Job, sp *Spec) map[string]EarlierText {
	items := make(map[string]*Item, len(sp.Items))
	for i := range sp.Items {
		items[sp.Items[i].ID] = &sp.Items[i]
	}
	out := map[string]EarlierText{}
	for _, jo := range ended {
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

// isSame reports whether two items with one ID ask for the same text. The headers and the body
// of a listed item are not stored any more.
func (it *Item) isSame(old *Item) bool {
	return it.Path == old.Path && it.Group == old.Group && it.Tokens == old.Tokens
}
