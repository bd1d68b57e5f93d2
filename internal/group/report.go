package group

import (
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/meter"
)

// onStatus logs and reports changes of the leader, the term and the membership.
func (gr *Group) onStatus(old, st Status) {
	fl := log.Fields{"role": st.Role, "leader": st.Leader, "term": st.Term, "commit": st.Commit, "voters": st.Membership.Voters}
	switch {
	case old.Role != st.Role || old.Leader != st.Leader:
		if st.Leader != "" {
			gr.elections.Add(1)
		}
		fl["oldRole"], fl["oldLeader"] = old.Role, old.Leader
		gr.cfg.Log.WithFields(fl).Info("leadership changed")
	case old.Term != st.Term:
		gr.cfg.Log.WithFields(fl).Info("term changed")
	case !old.Membership.Equal(st.Membership):
		gr.membershipChanges.Add(1)
		fl["learners"] = st.Membership.Learners
		gr.cfg.Log.WithFields(fl).Info("membership changed")
	default:
		return
	}
	gr.cfg.OnStatus(st)
}

// onDroppedTransfer logs and counts a received snapshot that was not the one that the leader sent.
func (gr *Group) onDroppedTransfer(dropped consensus.DroppedTransfer) {
	gr.droppedTransfers.Add(1)
	gr.cfg.Log.WithFields(log.Fields{
		"leader": dropped.From, "term": dropped.Term, "transfer": dropped.Transfer, "index": dropped.Index, "bytes": dropped.Bytes,
		"sent": fmt.Sprintf("%016x", dropped.Sent), "received": fmt.Sprintf("%016x", dropped.Received),
	}).Error("received snapshot dropped, its digest is not the one that the leader sent")
}

// Measure sets the gauges of the replica.
func (gr *Group) Measure(me *meter.Meter) {
	st := gr.Status()
	ageMs, leads := int64(-1), int64(0)
	if age, ok := gr.Age(); ok {
		ageMs = age.Milliseconds()
	}
	if st.Role == consensus.RoleLeader.String() {
		leads = 1
	}
	diskRefuses := int64(0)
	if gr.disk.isRefusing() {
		diskRefuses = 1
	}
	me.Gauge("group.diskRefuses", diskRefuses)
	me.Gauge("group.ageMs", ageMs)
	me.Gauge("group.term", int64(st.Term))
	me.Gauge("group.applied", int64(st.Applied))
	me.Gauge("group.leads", leads)
	me.Gauge("group.voters", int64(len(st.Membership.Voters)))
	me.Gauge("group.elections", gr.elections.Load())
	me.Gauge("group.moves", gr.membershipChanges.Load())
	me.Gauge("group.damagedBytes", gr.damagedBytes)
	me.Gauge("group.droppedSnapshots", gr.droppedTransfers.Load())
	me.Gauge("group.longestPauseMs", time.Duration(gr.longestPause.Load()).Milliseconds())
}
