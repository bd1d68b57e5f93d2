package handlers

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/tamarackbay/tamarackbay/internal/gateway"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/step"
)

const (
	maxStepBodyBytes  = 64 << 20
	maxSmallBodyBytes = 64 << 10
	// defaultPageWait also bounds how long the body of an operator's call is read.
	defaultPageWait    = 10 * time.Second
	maxPageWait        = 30 * time.Second
	maxGroupsPerStep   = 65_536
	maxSamplesPerGroup = 65_536
)

// stepRequest is the body of a call that opens a step.
type stepRequest struct {
	ID         string         `json:"id"`
	Trainer    string         `json:"trainer"`
	Staleness  *uint64        `json:"staleness"`  // versions, at most the trainer's bound
	MinVersion string         `json:"minVersion"` // name of the oldest version that may generate a sample
	TimeoutMs  int            `json:"timeoutMs"`
	Groups     []groupRequest `json:"groups"`
}

type groupRequest struct {
	ID          string  `json:"id"`
	Prompt      string  `json:"prompt"`
	Samples     int     `json:"samples"`
	MaxTokens   int     `json:"maxTokens"`
	Temperature float64 `json:"temperature"`
}

type stepReply struct {
	Step       string `json:"step"`
	Samples    int    `json:"samples"`
	DeadlineMs int64  `json:"deadlineMs"`
}

func (ca *Callers) openStep(w http.ResponseWriter, r *http.Request, cl gateway.Caller) {
	b, err := readBody(ca.gateway.Intake(), w, r, maxStepBodyBytes)
	if err != nil {
		ca.refuse(w, err)

		return
	}
	var rq stepRequest
	if err := decodeJSON(b, &rq); err != nil {
		ca.refuse(w, err)

		return
	}
	st, err := ca.newStep(&rq, cl.Workspace)
	if err != nil {
		ca.refuse(w, err)

		return
	}
	s := sha256.Sum256(b)
	st.Digest = hex.EncodeToString(s[:])

	opened, err := ca.gateway.Rollouts().Open(r.Context(), st)
	if err != nil {
		ca.refuse(w, err)

		return
	}
	writeJSON(w, http.StatusOK, stepReply{Step: opened.ID, Samples: len(opened.Samples), DeadlineMs: opened.DeadlineMs})
}

func (ca *Callers) newStep(rq *stepRequest, workspace string) (step.Step, error) {
	set := ca.gateway.Group().View().Set
	tr, ok := set.Trainers[rq.Trainer]
	if !ok || tr.Workspace != workspace {
		return step.Step{}, result.New(result.UnknownObject, "trainer %q does not exist in workspace %s", rq.Trainer, workspace)
	}

	st := step.Step{ID: rq.ID, Workspace: workspace, Trainer: rq.Trainer, Model: tr.Model, Staleness: tr.StalenessBound}
	if rq.Staleness != nil {
		if *rq.Staleness > tr.StalenessBound {
			return st, result.New(result.InvalidField, "staleness %d is over the trainer's bound %d", *rq.Staleness, tr.StalenessBound)
		}
		st.Staleness = *rq.Staleness
	}
	if rq.MinVersion != "" {
		ve, ok := set.FindVersion(tr.Model, rq.MinVersion)
		if !ok {
			return st, result.New(result.UnknownObject, "version %q of model %s does not exist", rq.MinVersion, tr.Model)
		}
		st.MinVersion = ve.Sequence
	}
	timeout := tr.StepTimeout()
	if rq.TimeoutMs > 0 {
		timeout = min(timeout, time.Duration(rq.TimeoutMs)*time.Millisecond)
	}
	st.DeadlineMs = time.Now().Add(timeout).UnixMilli()

	return st, addGroups(&st, rq.Groups)
}

// addGroups validates the ID of st and the groups of a request, and adds the groups to st.
func addGroups(st *step.Step, groups []groupRequest) error {
	if !isName(st.ID) {
		return result.New(result.InvalidField, "id %q must be 1 to 128 letters, digits, dots, dashes or underscores", st.ID)
	}
	if len(groups) == 0 || len(groups) > maxGroupsPerStep {
		return result.New(result.InvalidField, "%d groups are not between 1 and %d", len(groups), maxGroupsPerStep)
	}

	seen := map[string]bool{}
	for _, g := range groups {
		switch {
		case !isName(g.ID) || seen[g.ID]:
			return result.New(result.InvalidField, "group %q: the ID is invalid or repeated", g.ID)
		case g.Prompt == "":
			return result.New(result.InvalidField, "group %s: prompt must be set", g.ID)
		case g.Samples < 1 || g.Samples > maxSamplesPerGroup:
			return result.New(result.InvalidField, "group %s: %d samples are not between 1 and %d", g.ID, g.Samples, maxSamplesPerGroup)
		case g.MaxTokens < 1 || g.MaxTokens > maxTokensLimit:
			return result.New(result.InvalidField, "group %s: maxTokens %d is not between 1 and %d", g.ID, g.MaxTokens, maxTokensLimit)
		case g.Temperature < 0 || g.Temperature > 10:
			return result.New(result.InvalidField, "group %s: temperature %g is not between 0 and 10", g.ID, g.Temperature)
		}
		seen[g.ID] = true
		st.Groups = append(st.Groups, step.Group{ID: g.ID, Prompt: g.Prompt, Samples: g.Samples, MaxTokens: g.MaxTokens, Temperature: g.Temperature})
	}

	return nil
}

// isName reports whether s is a valid ID: 1 to 128 letters, digits, dots, dashes or
// underscores.
func isName(s string) bool {
	if s == "" || len(s) > 128 {
		return false
	}
	for _, c := range s {
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '.' && c != '-' && c != '_' {
			return false
		}
	}

	return true
}

func pageNumber(r *http.Request) (uint64, error) {
	n, err := strconv.ParseUint(chi.URLParam(r, "page"), 10, 64)
	if err != nil || n == 0 {
		return 0, result.New(result.InvalidField, "page %q: pages are numbered from 1", chi.URLParam(r, "page"))
	}

	return n, nil
}

func (ca *Callers) page(w http.ResponseWriter, r *http.Request, cl gateway.Caller) {
	n, err := pageNumber(r)
	if err != nil {
		ca.refuse(w, err)

		return
	}
	wait := defaultPageWait
	if ms, err := strconv.Atoi(r.URL.Query().Get("waitMs")); err == nil && ms >= 0 {
		wait = min(time.Duration(ms)*time.Millisecond, maxPageWait)
	}
	limit, _ := strconv.Atoi(r.URL.Query().Get("max")) // 0 selects the default

	b, err := ca.gateway.Rollouts().Page(r.Context(), cl.Workspace, chi.URLParam(r, "step"), n, limit, wait)
	if err != nil {
		ca.refuse(w, err)

		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	_, _ = w.Write(b) // a trainer that did not receive all of it requests the page again
}

func (ca *Callers) ack(w http.ResponseWriter, r *http.Request, cl gateway.Caller) {
	n, err := pageNumber(r)
	if err != nil {
		ca.refuse(w, err)

		return
	}
	left, err := ca.gateway.Rollouts().Ack(r.Context(), cl.Workspace, chi.URLParam(r, "step"), n)
	if err != nil {
		ca.refuse(w, err)

		return
	}
	writeJSON(w, http.StatusOK, map[string]int{"remaining": left})
}

type versionRequest struct {
	Name   string `json:"name"`
	Source string `json:"source"`
}

func (ca *Callers) pushVersion(w http.ResponseWriter, r *http.Request, cl gateway.Caller) {
	b, err := readBody(ca.gateway.Intake(), w, r, maxSmallBodyBytes)
	if err != nil {
		ca.refuse(w, err)

		return
	}
	var rq versionRequest
	if err := decodeJSON(b, &rq); err != nil {
		ca.refuse(w, err)

		return
	}
	ve, err := ca.gateway.PushVersion(r.Context(), cl.Workspace, chi.URLParam(r, "model"), rq.Name, rq.Source)
	if err != nil {
		ca.refuse(w, err)

		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"model": ve.Model, "name": ve.Name, "sequence": ve.Sequence})
}
