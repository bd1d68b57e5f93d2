package feed

import "time"

// handling is how far EachView has come with the views, and the confirmations that count once it has
// handled them.
type handling struct {
	isUsed    bool
	begun     uint64    // number of the view that was passed on last
	ended     uint64    // number of the view that was handled last
	confirmed time.Time // latest confirmation of the view that was passed on last
	next      time.Time // latest confirmation of the views after it
}

// confirm records that the current view was confirmed as of a time. The caller holds mu.
func (fo *Follower) confirm(at time.Time) {
	ha := &fo.handling
	switch {
	case !ha.isUsed || ha.ended == fo.published:
		fo.confirmed = latest(fo.confirmed, at)
	case ha.begun == fo.published:
		ha.confirmed = latest(ha.confirmed, at)
	default:
		ha.next = latest(ha.next, at)
	}
}

// beginView returns the current view, which is to be handled, and a channel that is closed with the next one.
func (fo *Follower) beginView() (vi *View, changed <-chan struct{}) {
	fo.mu.Lock()
	defer fo.mu.Unlock()

	ha := &fo.handling
	ha.isUsed, ha.begun = true, fo.published
	ha.confirmed, ha.next = latest(ha.confirmed, ha.next), time.Time{}

	return fo.View(), fo.changed
}

// endView records that the view of the last call of beginView was handled.
func (fo *Follower) endView() {
	fo.mu.Lock()
	defer fo.mu.Unlock()

	ha := &fo.handling
	ha.ended = ha.begun
	fo.confirmed = latest(fo.confirmed, ha.confirmed)
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}

	return a
}
