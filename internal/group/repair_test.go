package group

import (
	"slices"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
)

// Load pattern: a group with many more processes than it needs replicas, where each further
// follower costs the leader one copy of the log.
var _ = ginkgo.Describe("the replicas of a group with a limit of spare ones", func() {
	ids := func(names ...consensus.ReplicaID) []consensus.ReplicaID { return names }
	voters := ids("v1", "v2", "v3", "v4", "v5")

	for _, tc := range []struct {
		pattern   string
		ce        census
		lagging   []consensus.ReplicaID
		vacancies int
		why       string
	}{
		{"take in the spare ones that are missing", census{voters: 5, spares: ids("s1")}, nil, 1, ""},
		{"are complete with all voters and spare ones", census{voters: 5, spares: ids("s1", "s2")}, nil, 0, ""},
		{"give up a spare one that is too many, as after an upgrade", census{voters: 5, spares: ids("s1", "s2", "s3")}, nil, -1, "remove surplus s3"},
		{"replace a lost voter by a spare one", census{voters: 4, deadVoter: "v5", spares: ids("s1", "s2")}, nil, 1, "promote s1"},
		{"replace two voters that are lost together", census{voters: 3, deadVoter: "v5", spares: ids("s1", "s2")}, nil, 2, "promote s1"},
		{"take the spare one that has caught up", census{voters: 4, deadVoter: "v5", spares: ids("s1", "s2")}, ids("s1"), 1, "promote s2"},
		{"wait for a newcomer that has not caught up", census{voters: 4, deadVoter: "v5", spares: ids("s1")}, ids("s1"), 2, ""},
		{"remove a lost voter only once it is replaced", census{voters: 5, deadVoter: "v5", spares: ids("s1")}, nil, 1, "remove v5"},
		{"replace a lost spare one", census{voters: 5, deadLearner: "s1", spares: ids("s2")}, nil, 1, "remove s1"},
	} {
		ginkgo.It(tc.pattern, func() {
			ce := tc.ce
			ce.membership = consensus.Membership{Voters: voters, Learners: ce.spares}
			if ce.deadLearner != "" {
				ce.membership.Learners = append(ids(ce.deadLearner), ce.spares...)
			}
			ce.targetVoters, ce.maxSpares = 5, 2
			ce.isCaughtUp = func(id consensus.ReplicaID) bool { return !slices.Contains(tc.lagging, id) }
			_, why := ce.next()
			Expect(why).To(Equal(tc.why))
			Expect(ce.vacancies()).To(Equal(tc.vacancies))
		})
	}

	ginkgo.It("take in every process where there is no limit", func() {
		ce := census{membership: consensus.Membership{Voters: voters}, targetVoters: 5, voters: 5, spares: ids("s1", "s2", "s3"), isCaughtUp: func(consensus.ReplicaID) bool { return true }}
		_, why := ce.next()
		Expect(why).To(BeEmpty())
		Expect(ce.vacancies()).To(BeNumerically(">", 0))
	})
})
