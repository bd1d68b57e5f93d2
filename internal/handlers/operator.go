package handlers

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/declaration"
	"github.com/tamarackbay/tamarackbay/internal/gateway"
	"github.com/tamarackbay/tamarackbay/internal/group"
	"github.com/tamarackbay/tamarackbay/internal/intent"
	"github.com/tamarackbay/tamarackbay/internal/lease"
	"github.com/tamarackbay/tamarackbay/internal/pool"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
)

// readTimeout bounds how long a read waits for this gateway to be up to date.
const readTimeout = 3 * time.Second

// Operators serves operators and collectors of metrics.
type Operators struct {
	gateway *gateway.Gateway
}

// NewOperators returns the router of the operators' listener.
func NewOperators(ga *gateway.Gateway) http.Handler {
	op := &Operators{gateway: ga}
	r := chi.NewRouter()
	r.Use(limitHeader(ga.Settings().MaxHeaderBytes, op.refuse))
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	r.Get("/metrics", op.metrics)
	r.Get("/v1/configuration", op.withOperator(op.configuration))
	r.Post("/v1/patches", op.withOperator(op.patch))
	r.Get("/v1/history", op.withOperator(op.history))
	r.Post("/v1/keys", op.withOperator(op.issueKey))
	r.Post("/v1/keys/{key}/withdraw", op.withOperator(op.withdrawKey))
	r.Get("/v1/status", op.withOperator(op.status))
	r.Get("/v1/explain", op.withOperator(op.explain))
	r.Get("/v1/members", op.withOperator(op.members))
	r.Post("/v1/members/{replica}/{action}", op.withOperator(op.changeMember))
	r.Get("/v1/quarantine", op.withOperator(op.quarantine))
	r.Post("/v1/quarantine/{fingerprint}/release", op.withOperator(op.release))
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		op.refuse(w, result.New(result.UnknownRoute, "path %s is not served", r.URL.Path))
	})

	return r
}

func (op *Operators) refuse(w http.ResponseWriter, err error) {
	op.gateway.Meter().CountRefusal(err)
	writeError(w, err)
}

// withOperator authenticates an operator. It compares the hash of the token with every
// operator's hash in constant time, so that the time of the answer reveals nothing
// about them.
func (op *Operators) withOperator(next func(w http.ResponseWriter, r *http.Request, operator string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		h := declaration.HashSecret(bearer(r))
		name := ""
		for _, o := range op.gateway.Settings().Operators {
			if subtle.ConstantTimeCompare([]byte(h), []byte(o.TokenHash)) == 1 {
				name = o.Name
			}
		}
		if name == "" {
			op.refuse(w, result.New(result.OperatorForbidden, "the operator's token is missing or wrong"))

			return
		}
		next(w, r, name)
	}
}

func (op *Operators) metrics(w http.ResponseWriter, r *http.Request) {
	if strings.Contains(r.Header.Get("Accept"), "application/json") || r.URL.Query().Get("format") == "json" {
		w.Header().Set("Content-Type", "application/json")
		op.gateway.Meter().WriteJSON(w)

		return
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_ = op.gateway.Meter().WriteText(w) // fails if the collector has disconnected
}

type configurationReply struct {
	Version uint64           `json:"version"`
	Set     *declaration.Set `json:"declarations"`
}

func (op *Operators) configuration(w http.ResponseWriter, r *http.Request, _ string) {
	// An operator must read its own writes, whichever gateway it asks.
	if err := op.awaitCurrent(r.Context()); err != nil {
		op.refuse(w, err)

		return
	}
	vi := op.gateway.Group().View()
	if path := r.URL.Query().Get("path"); path != "" {
		v, err := vi.Set.Get(path)
		if err != nil {
			op.refuse(w, err)

			return
		}
		writeJSON(w, http.StatusOK, map[string]any{"version": vi.Version, "path": path, "value": v})

		return
	}
	writeJSON(w, http.StatusOK, configurationReply{Version: vi.Version, Set: vi.Set})
}

// awaitCurrent returns once this gateway has applied all changes that the group accepted
// before the call. A gateway without a disk checks only that its state is within the
// freshness bound.
func (op *Operators) awaitCurrent(ctx context.Context) error {
	if !op.gateway.Group().HasDisk() {
		return op.gateway.Group().CheckFresh()
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()

	return op.gateway.Group().Barrier(ctx)
}

func (op *Operators) patch(w http.ResponseWriter, r *http.Request, operator string) {
	b, err := readBody(op.gateway.Intake(), w, r, maxMediumBodyBytes)
	if err != nil {
		op.refuse(w, err)

		return
	}
	var pa declaration.Patch
	if err := decodeJSON(b, &pa); err != nil {
		op.refuse(w, err)

		return
	}
	pa.Author = operator
	an, err := op.gateway.Patch(r.Context(), pa)
	if err != nil {
		op.refuse(w, err)

		return
	}
	writeJSON(w, http.StatusOK, an)
}

func (op *Operators) history(w http.ResponseWriter, r *http.Request, _ string) {
	n, err := strconv.Atoi(r.URL.Query().Get("n"))
	if err != nil || n < 1 {
		n = 20
	}
	var out []declaration.Change
	if !op.gateway.Group().Read(func(ma *statemachine.Machine) { out = ma.Configuration().History(n) }) {
		op.refuse(w, result.New(result.NotLeader, "this gateway has no disk and no history: ask a gateway with a disk"))

		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"changes": out})
}

type keyRequest struct {
	Workspace string `json:"workspace"`
	Note      string `json:"note"`
	ExpiresMs int64  `json:"expiresMs"`
}

func (op *Operators) issueKey(w http.ResponseWriter, r *http.Request, operator string) {
	b, err := readBody(op.gateway.Intake(), w, r, maxSmallBodyBytes)
	if err != nil {
		op.refuse(w, err)

		return
	}
	var rq keyRequest
	if err := decodeJSON(b, &rq); err != nil {
		op.refuse(w, err)

		return
	}
	id, token, err := op.gateway.IssueKey(r.Context(), operator, rq.Workspace, rq.Note, rq.ExpiresMs)
	if err != nil {
		op.refuse(w, err)

		return
	}
	writeJSON(w, http.StatusOK, map[string]string{"id": id, "token": token})
}

func (op *Operators) withdrawKey(w http.ResponseWriter, r *http.Request, operator string) {
	an, err := op.gateway.WithdrawKey(r.Context(), operator, chi.URLParam(r, "key"))
	if err != nil {
		op.refuse(w, err)

		return
	}
	writeJSON(w, http.StatusOK, an)
}

type statusReply struct {
	Gateway string                 `json:"gateway"`
	Cluster string                 `json:"cluster"`
	Version uint64                 `json:"version"`
	AgeMs   int64                  `json:"ageMs"`
	Ready   bool                   `json:"ready"`
	Replica group.Status           `json:"replica"`
	Servers []pool.Info            `json:"servers"`
	Leases  map[string]lease.Lease `json:"leases"`
	Open    []intent.Intent        `json:"openOrders"`
	Steps   int                    `json:"steps"`
}

func (op *Operators) status(w http.ResponseWriter, _ *http.Request, _ string) {
	gr := op.gateway.Group()
	age, _ := gr.Age()
	rep := statusReply{
		Gateway: op.gateway.Settings().Name, Cluster: gr.Cluster(), Version: gr.View().Version, AgeMs: age.Milliseconds(),
		Ready: op.gateway.Ready() == nil, Replica: gr.Status(), Servers: []pool.Info{}, Leases: map[string]lease.Lease{},
		Steps: op.gateway.Rollouts().Running(),
	}
	for _, po := range op.gateway.Pools() {
		rep.Servers = append(rep.Servers, po.Infos()...)
	}
	gr.Read(func(ma *statemachine.Machine) {
		for n, le := range ma.Leases().Leases() {
			rep.Leases[n] = le
		}
		rep.Open = ma.Intents().Unsettled()
	})
	writeJSON(w, http.StatusOK, rep)
}

func (op *Operators) explain(w http.ResponseWriter, _ *http.Request, _ string) {
	writeJSON(w, http.StatusOK, map[string]any{"fleet": op.gateway.FleetReasons()})
}

type memberReply struct {
	statemachine.Registration
	Voter bool `json:"voter"`
}

func (op *Operators) members(w http.ResponseWriter, _ *http.Request, _ string) {
	st := op.gateway.Group().Status()
	out := []memberReply{}
	op.gateway.Group().Read(func(ma *statemachine.Machine) {
		for _, id := range st.Membership.All() {
			re := ma.Replicas()[id]
			re.Replica = id
			out = append(out, memberReply{Registration: re, Voter: st.Membership.IsVoter(id)})
		}
	})
	writeJSON(w, http.StatusOK, map[string]any{"leader": st.Leader, "members": out})
}

func (op *Operators) changeMember(w http.ResponseWriter, r *http.Request, _ string) {
	action := chi.URLParam(r, "action")
	if action != group.MemberPromote && action != group.MemberRemove {
		op.refuse(w, result.New(result.InvalidField, "action %q is not one of promote, remove", action))

		return
	}
	if err := op.gateway.Group().ChangeMember(r.Context(), action, consensus.ReplicaID(chi.URLParam(r, "replica"))); err != nil {
		op.refuse(w, err)

		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (op *Operators) quarantine(w http.ResponseWriter, _ *http.Request, _ string) {
	writeJSON(w, http.StatusOK, map[string]any{"fingerprints": op.gateway.Group().View().Quarantine})
}

func (op *Operators) release(w http.ResponseWriter, r *http.Request, _ string) {
	if err := op.gateway.ReleaseFingerprint(r.Context(), chi.URLParam(r, "fingerprint")); err != nil {
		op.refuse(w, err)

		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
