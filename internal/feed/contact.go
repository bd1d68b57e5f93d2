package feed

import (
	"fmt"
	"time"

	"github.com/apex/log"
)

// contact is what is known of the stream from a controller.
type contact struct {
	isFollowed  bool
	heard       time.Time     // last message; zero before the first one
	isConfirmed bool          // by the last message, a majority has confirmed its replica since its start
	age         time.Duration // of the state that the last message reported; 0 if it is not confirmed
	failed      bool          // a log line says that it can't be followed
}

// logConfirmation logs when the configuration has not been confirmed for unconfirmedWarning, with the
// contact to each controller, and when it is confirmed again.
func (fo *Follower) logConfirmation() {
	age, ok := fo.Age()
	if !ok || (age > unconfirmedWarning) == fo.isUnconfirmed {
		return
	}
	fo.isUnconfirmed = !fo.isUnconfirmed
	fl := log.Fields{"ageMs": age.Milliseconds(), "controllers": fo.describeContacts()}
	if vi := fo.View(); vi.Table != nil {
		fl["version"] = vi.Table.Version()
	}
	if fo.isUnconfirmed {
		fo.cfg.Log.WithFields(fl).Warn("the configuration is not confirmed any more")
	} else {
		fo.cfg.Log.WithFields(fl).Info("the configuration is confirmed again")
	}
}

// describeContacts returns the contact to each controller, for logs.
func (fo *Follower) describeContacts() map[string]string {
	fo.mu.Lock()
	defer fo.mu.Unlock()

	out := map[string]string{}
	for a, ct := range fo.contacts {
		switch {
		case ct.heard.IsZero():
			out[a] = "never heard"
		case ct.isFollowed && !ct.isConfirmed:
			out[a] = fmt.Sprintf("followed, not confirmed since its start, heard %d ms ago", time.Since(ct.heard).Milliseconds())
		case ct.isFollowed:
			out[a] = fmt.Sprintf("followed, heard %d ms ago with an age of %d ms", time.Since(ct.heard).Milliseconds(), ct.age.Milliseconds())
		default:
			out[a] = fmt.Sprintf("not followed, heard %d ms ago", time.Since(ct.heard).Milliseconds())
		}
	}

	return out
}

// followed returns how many controllers are followed, and how many are known.
func (fo *Follower) followed() (followed, known int) {
	fo.mu.Lock()
	defer fo.mu.Unlock()

	for _, ct := range fo.contacts {
		if ct.isFollowed {
			followed++
		}
	}

	return followed, len(fo.following)
}

// logFailure logs the first of several failures in a row to follow a controller.
func (fo *Follower) logFailure(address string, err error) {
	fo.mu.Lock()
	ct := fo.contacts[address]
	wasFailed := ct.failed
	ct.failed = true
	fo.contacts[address] = ct
	fo.mu.Unlock()
	if !wasFailed {
		fo.cfg.Log.WithFields(log.Fields{"controller": address, "error": err.Error()}).Warn("controller can't be followed")
	}
}

// recordContact records a message of a controller that was received at a time. Its state is
// confirmed as of the time at which the ping was sent that it returns, less the reported age: the
// message may have waited on its way since.
func (fo *Follower) recordContact(address string, he head, de *stateDelta, at time.Time) {
	fo.mu.Lock()
	defer fo.mu.Unlock()

	fo.processes = max(de.Followers, 1)
	if de.IsUnconfirmed {
		fo.contacts[address] = contact{isFollowed: true, heard: at}

		return
	}
	age := time.Duration(he.AgeMs) * time.Millisecond
	fo.confirm(fo.start.Add(time.Duration(he.Ping)).Add(-age))
	fo.contacts[address] = contact{isFollowed: true, heard: at, isConfirmed: true, age: age}
}
