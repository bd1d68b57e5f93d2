package registry

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Notice is a heartbeat or a leave notice that one process passes on to another.
type Notice struct {
	Record Record `cbor:"1,keyasint"`
	Leaves bool   `cbor:"2,keyasint,omitempty"`
	// Digest is set where the record has only an incarnation and a sequence number: the
	// backend server is alive and its content has this digest.
	Digest uint64 `cbor:"3,keyasint,omitempty"`
}

// digest returns a hash of what hasSameContent compares, apart from IsLoading and WarmAfter, which
// heartbeats do not report. It is never 0.
func (re *Record) digest() uint64 {
	var di xxhash.Digest
	text := func(s string) {
		_, _ = di.WriteString(s) // never fails
		_, _ = di.Write([]byte{0})
	}
	number := func(n uint64) { _, _ = di.Write(binary.LittleEndian.AppendUint64(nil, n)) }
	di.Reset()
	text(re.Service)
	text(re.Address)
	text(re.FailureDomain)
	text(re.Software)
	number(uint64(re.Slots))
	number(uint64(re.State))
	for _, mo := range re.Models {
		text(mo.Name)
		number(mo.Version)
	}

	if re.IsCold {
		text("cold") // nothing otherwise: the digest of a warm one is that of earlier versions
	}

	return max(di.Sum64(), 1)
}

// Outbox merges the notices for one other process: of each backend server only the newest is
// sent, and its content only if the other process does not have it. It is not safe for
// concurrent use.
type Outbox struct {
	pending  map[string]Notice
	isUrgent bool                   // pending holds more than signs of life
	has      map[Incarnation]uint64 // digest of the content that the other process has
}

// NewOutbox returns an empty outbox.
func NewOutbox() *Outbox {
	return &Outbox{pending: map[string]Notice{}, has: map[Incarnation]uint64{}}
}

// Add adds a notice, unless a newer one of the backend server waits.
func (ob *Outbox) Add(no Notice) {
	if old, ok := ob.pending[no.Record.ID]; ok && !no.replaces(&old) {
		return
	}
	ob.pending[no.Record.ID] = no
	ob.isUrgent = ob.isUrgent || no.Leaves || ob.has[no.Record.Incarnation()] != no.Record.digest()
}

// replaces reports whether a notice makes an earlier one of the same backend server needless.
func (no *Notice) replaces(old *Notice) bool {
	switch {
	case no.Record.BornMs != old.Record.BornMs && no.Record.BornMs != 0 && old.Record.BornMs != 0:
		return no.Record.BornMs > old.Record.BornMs
	case old.Leaves:
		return false
	}

	return no.Leaves || no.Record.Sequence > old.Record.Sequence
}

// IsUrgent reports whether anything waits that changes what the other process knows.
func (ob *Outbox) IsUrgent() bool { return ob.isUrgent }

// Take removes and returns all notices. The caller passes them to Confirm or Restore.
func (ob *Outbox) Take() []Notice {
	out := make([]Notice, 0, len(ob.pending))
	for _, no := range ob.pending {
		if di := no.Record.digest(); !no.Leaves && ob.has[no.Record.Incarnation()] == di {
			no = Notice{Record: Record{ID: no.Record.ID, BornMs: no.Record.BornMs, Sequence: no.Record.Sequence}, Digest: di}
		}
		out = append(out, no)
	}
	ob.pending, ob.isUrgent = map[string]Notice{}, false

	return out
}

// Confirm records that the other process has received notices. It lacks the content of the
// backend servers in lacking, which their next heartbeat brings.
func (ob *Outbox) Confirm(sent []Notice, lacking []string) {
	for i := range sent {
		no := &sent[i]
		switch {
		case no.Leaves:
			delete(ob.has, no.Record.Incarnation())
		case no.Digest == 0:
			ob.has[no.Record.Incarnation()] = no.Record.digest()
		}
	}
	for _, id := range lacking {
		ob.forget(id)
	}
}

func (ob *Outbox) forget(id string) {
	for in := range ob.has {
		if in.ID == id {
			delete(ob.has, in)
		}
	}
}

// Restore puts back notices that could not be sent. Whether the other process has received them
// is not known, so that their next heartbeats bring the content again.
func (ob *Outbox) Restore(sent []Notice) {
	for _, no := range sent {
		if no.Digest != 0 {
			continue // the next heartbeat is as good
		}
		delete(ob.has, no.Record.Incarnation())
		if _, ok := ob.pending[no.Record.ID]; !ok {
			ob.pending[no.Record.ID] = no
		}
	}
}

// Retain drops what is known of incarnations that are not alive any more.
func (ob *Outbox) Retain(isAlive func(in Incarnation) bool) {
	for in := range ob.has {
		if !isAlive(in) {
			delete(ob.has, in)
		}
	}
}

// Receive records notices of another process. It returns the IDs of the backend servers whose
// content is lacking here, and whether anything but sequence numbers changed.
func (rg *Registry) Receive(now time.Duration, notices []Notice) (lacking []string, changed bool) {
	for i := range notices {
		no := &notices[i]
		switch {
		case no.Leaves:
			changed = rg.Leave(now, no.Record.ID, no.Record.BornMs) || changed
		case no.Digest == 0:
			changed = rg.Observe(now, no.Record) || changed
		default:
			isKnown, isChanged := rg.touch(now, no)
			changed = isChanged || changed
			if !isKnown {
				lacking = append(lacking, no.Record.ID)
			}
		}
	}

	return lacking, changed
}

// touch records a sign of life. isKnown is false if the content that it stands for is not known.
func (rg *Registry) touch(now time.Duration, no *Notice) (isKnown, changed bool) {
	en, ok := rg.entries[no.Record.ID]
	switch {
	case !ok || en.record.BornMs < no.Record.BornMs:
		return false, false
	case en.record.BornMs > no.Record.BornMs || en.record.Sequence >= no.Record.Sequence:
		return true, false // out of date
	case en.record.State == Left:
		en.remember(now)

		return true, false
	case en.record.digest() != no.Digest:
		return false, false
	}
	changed = en.isLapsed
	if no.Record.Sequence != en.record.Sequence+1 {
		en.unchangedFrom = no.Record.Sequence
	}
	en.record.Sequence, en.lastHeard, en.isLapsed = no.Record.Sequence, now, false
	changed = en.confirmWarm() || changed
	if changed {
		rg.revision++
	}

	return true, changed
}
