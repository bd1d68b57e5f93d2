package gateway

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/tamarackbay/tamarackbay/internal/declaration"
	"github.com/tamarackbay/tamarackbay/internal/quarantine"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
)

// maxPatchAttempts limits how often a change made by the gateway itself is retried
// because the configuration changed in between.
const maxPatchAttempts = 20

// Patch proposes an operator's patch to the group.
func (ga *Gateway) Patch(ctx context.Context, pa declaration.Patch) (declaration.Answer, error) {
	var an declaration.Answer
	err := ga.group.Propose(ctx, statemachine.KindPatch, pa, &an)

	return an, err
}

// proposeChange proposes the operations that ops returns for the current
// configuration, and retries against the newer version if another patch came first.
func (ga *Gateway) proposeChange(ctx context.Context, author string, ops func(set *declaration.Set) ([]declaration.Op, error)) (declaration.Answer, error) {
	base := ga.group.View().Version
	for n := range maxPatchAttempts {
		list, err := ops(ga.group.View().Set)
		if err != nil || len(list) == 0 {
			return declaration.Answer{Version: base}, err
		}
		an, err := ga.Patch(ctx, declaration.Patch{
			ID: fmt.Sprintf("%s-%d", ga.newRequestID(), n), Base: base, Author: author, Ops: list,
		})
		if !result.Is(err, result.PatchVersionOld) {
			return an, err
		}
		if err := ga.waitForVersion(ctx, an.Version); err != nil {
			return an, err
		}
		base = ga.group.View().Version
	}

	return declaration.Answer{}, result.New(result.PatchVersionOld, "the patch was overtaken by other changes in each of %d attempts", maxPatchAttempts)
}

// waitForVersion waits until this process's view has reached the configuration version.
func (ga *Gateway) waitForVersion(ctx context.Context, version uint64) error {
	for {
		changed := ga.group.Changed()
		if ga.group.View().Version >= version {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return result.New(result.GroupTimeout, "configuration version %d did not reach this gateway in time", version)
		}
	}
}

// IssueKey creates a key for a workspace and returns its ID and token. The token is
// not stored and cannot be retrieved later.
func (ga *Gateway) IssueKey(ctx context.Context, author, workspace, note string, expiresMs int64) (id, token string, err error) {
	id, secret, token, err := declaration.NewKey()
	if err != nil {
		return "", "", err
	}
	ke := declaration.Key{Workspace: workspace, Hash: declaration.HashSecret(secret), ExpiresMs: expiresMs, Note: note}
	_, err = ga.proposeChange(ctx, author, func(*declaration.Set) ([]declaration.Op, error) {
		return setOp(declaration.KindKey, id, ke)
	})

	return id, token, err
}

// WithdrawKey marks a key as withdrawn.
func (ga *Gateway) WithdrawKey(ctx context.Context, author, id string) (declaration.Answer, error) {
	return ga.proposeChange(ctx, author, func(set *declaration.Set) ([]declaration.Op, error) {
		ke, ok := set.Keys[id]
		if !ok {
			return nil, result.New(result.UnknownObject, "key %s does not exist", id)
		}
		if ke.Withdrawn {
			return nil, nil
		}
		ke.Withdrawn = true

		return setOp(declaration.KindKey, id, ke)
	})
}

// PushVersion declares a weight version of a model for a trainer, or returns the
// existing one of that name.
func (ga *Gateway) PushVersion(ctx context.Context, workspace, model, name, source string) (declaration.Version, error) {
	var ve declaration.Version
	_, err := ga.proposeChange(ctx, "trainer of "+workspace, func(set *declaration.Set) ([]declaration.Op, error) {
		if !hasTrainer(set, workspace, model) {
			return nil, result.New(result.RouteNotAllowed, "workspace %s has no trainer of model %s", workspace, model)
		}
		if old, ok := set.FindVersion(model, name); ok {
			ve = old

			return nil, nil
		}
		latest, _ := set.LatestVersion(model)
		ve = declaration.Version{Model: model, Name: name, Sequence: latest.Sequence + 1, Source: source}

		return setOp(declaration.KindVersion, declaration.VersionPath(model, name), ve)
	})

	return ve, err
}

func hasTrainer(set *declaration.Set, workspace, model string) bool {
	for _, tr := range set.Trainers {
		if tr.Workspace == workspace && tr.Model == model {
			return true
		}
	}

	return false
}

func setOp(kind, name string, v any) ([]declaration.Op, error) {
	b, err := json.Marshal(v)

	return []declaration.Op{{Path: kind + "/" + name, Value: b}}, err
}

// ReleaseFingerprint releases a fingerprint from quarantine.
func (ga *Gateway) ReleaseFingerprint(ctx context.Context, fp string) error {
	return ga.group.Propose(ctx, statemachine.KindReleaseQuarantine, quarantine.Release{Fingerprint: fp}, nil)
}
