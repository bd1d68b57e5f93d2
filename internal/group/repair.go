package group

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
)

// vacancyPeriod is how often a replica for which the group has no use asks whether that has
// changed. Spare replicas bridge the time.
const vacancyPeriod = 2 * time.Second

// targetVoters returns how many voters the group should have.
func (gr *Group) targetVoters() int {
	if gr.cfg.TargetVoters > 0 {
		return gr.cfg.TargetVoters
	}

	return len(gr.identity.Bootstrap)
}

// replicaNames returns the names of the processes of all registered replicas.
func (gr *Group) replicaNames() map[consensus.ReplicaID]string {
	names := map[consensus.ReplicaID]string{}
	gr.Read(func(ma *statemachine.Machine) {
		for id, re := range ma.Replicas() {
			names[id] = re.Name
		}
	})

	return names
}

// awaitVacancy waits after the process at an address has refused this replica because the group
// is complete, until the group takes it in or can't be asked any more. It asks that process only.
func (gr *Group) awaitVacancy(ctx context.Context, address string) {
	for {
		select {
		case <-time.After(vacancyPeriod/2 + rand.N(vacancyPeriod)):
		case <-ctx.Done():
			return
		}
		if !result.Is(gr.requestJoin(ctx, address), result.GroupComplete) {
			return
		}
	}
}

// census counts the living members of a group, as its leader knows them.
type census struct {
	membership   consensus.Membership
	targetVoters int
	maxSpares    int // 0 for no limit
	voters       int // that are alive
	deadVoter    consensus.ReplicaID
	deadLearner  consensus.ReplicaID
	spares       []consensus.ReplicaID // learners that are alive
	isCaughtUp   func(id consensus.ReplicaID) bool
}

// census counts the members at now. A replica of a retiring VM counts as dead.
func (gr *Group) census(now time.Duration, re *consensus.Replica, names map[consensus.ReplicaID]string) *census {
	ce := &census{membership: re.Membership(), targetVoters: gr.targetVoters(), maxSpares: gr.cfg.MaxSpares, isCaughtUp: re.CaughtUp}
	isDead := func(id consensus.ReplicaID) bool {
		if gr.cfg.IsRetiring(nameOf(id, names)) {
			return true
		}
		heard, ok := re.LastContact(id)

		return id != re.ID() && ok && (now > heard+gr.cfg.ReplaceAfter || isSuperseded(now, id, re, names))
	}
	for _, id := range ce.membership.Voters {
		if isDead(id) {
			ce.deadVoter = id
		} else {
			ce.voters++
		}
	}
	for _, id := range ce.membership.Learners {
		if !isDead(id) {
			ce.spares = append(ce.spares, id)
		} else if ce.deadLearner == "" {
			ce.deadLearner = id
		}
	}

	return ce
}

// vacancies returns how many more replicas the group takes in: those that living voters are
// missing, and spare ones.
func (ce *census) vacancies() int {
	if ce.maxSpares == 0 {
		return 1
	}

	return ce.maxSpares + max(ce.targetVoters-ce.voters, 0) - len(ce.spares)
}

// next returns the next membership on the way to the target number of living voters and the
// reason for the change, or "" if none is needed. A caught-up learner is promoted before the
// dead voter is removed.
func (ce *census) next() (consensus.Membership, string) {
	m := ce.membership
	i := slices.IndexFunc(ce.spares, ce.isCaughtUp)
	switch {
	case ce.voters < ce.targetVoters && i >= 0:
		return m.WithVoter(ce.spares[i]), "promote " + string(ce.spares[i])
	case ce.deadVoter != "" && ce.voters >= ce.targetVoters:
		return m.Without(ce.deadVoter), "remove " + string(ce.deadVoter)
	case ce.deadLearner != "":
		return m.Without(ce.deadLearner), "remove " + string(ce.deadLearner)
	case ce.vacancies() < 0:
		surplus := ce.spares[len(ce.spares)-1]

		return m.Without(surplus), "remove surplus " + string(surplus)
	}

	return m, ""
}

// isSuperseded reports whether id is silent while another replica of the same name was
// heard from later, which happens when a data folder was emptied.
func isSuperseded(now time.Duration, id consensus.ReplicaID, re *consensus.Replica, names map[consensus.ReplicaID]string) bool {
	heard, ok := re.LastContact(id)
	if !ok || now < heard+supersededAfter {
		return false
	}

	name := nameOf(id, names)
	for _, other := range re.Membership().All() {
		at, ok := re.LastContact(other)
		if other != id && nameOf(other, names) == name && (other == re.ID() || (ok && at > heard)) {
			return true
		}
	}

	return false
}

func nameOf(id consensus.ReplicaID, names map[consensus.ReplicaID]string) string {
	if n, ok := names[id]; ok {
		return n
	}
	s := string(id)
	if i := strings.LastIndexByte(s, '-'); i > 0 {
		return s[:i]
	}

	return s
}
