package gateway

import (
	"context"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/declaration"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

// Caller is who a request runs for.
type Caller struct {
	Workspace string
	KeyID     string // "" on an open route
	Secret    string // of the key, to find it in what a backend server would see
}

// Authenticate returns the caller that a token belongs to.
func (ga *Gateway) Authenticate(token string) (Caller, error) {
	if err := ga.group.Fresh(); err != nil {
		return Caller{}, err
	}
	if token == "" {
		return Caller{}, result.New(result.MissingKey, "no key was shown")
	}

	id, secret, ok := declaration.ParseToken(token)
	if !ok {
		return Caller{}, result.New(result.UnknownKey, "the key is not one of ours")
	}
	ke, found := ga.group.View().Set.Keys[id]
	// An unknown ID costs the same comparison as a known one.
	if matches := ke.Matches(secret); !found || !matches {
		return Caller{}, result.New(result.UnknownKey, "the key is not one of ours")
	}
	if err := ga.checkKey(id); err != nil {
		return Caller{}, err
	}

	return Caller{Workspace: ke.Workspace, KeyID: id, Secret: secret}, nil
}

// checkKey returns why the key may not be used now, or nil.
func (ga *Gateway) checkKey(id string) error {
	ke, ok := ga.group.View().Set.Keys[id]
	switch {
	case !ok || ke.Withdrawn:
		return result.New(result.WithdrawnKey, "key %s was withdrawn", id)
	case ke.ExpiresMs > 0 && ga.cfg.WallMs() >= ke.ExpiresMs:
		return result.New(result.ExpiredKey, "key %s has expired", id)
	}

	return nil
}

// activeRequest is a request that ends when its key does.
type activeRequest struct {
	keyID  string
	cancel context.CancelCauseFunc
}

// Watch returns a context that ends with the caller's key, or when this process
// can no longer vouch for it. The cause of its end is a numbered error.
func (ga *Gateway) Watch(ctx context.Context, ca Caller) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	if ca.KeyID == "" {
		return ctx, func() { cancel(nil) }
	}

	ar := &activeRequest{keyID: ca.KeyID, cancel: cancel}
	ga.mu.Lock()
	ga.activeRequests[ar] = struct{}{}
	ga.mu.Unlock()
	// The key may have been withdrawn between its check and the line above.
	if err := ga.checkKey(ca.KeyID); err != nil {
		cancel(err)
	}

	return ctx, func() {
		ga.mu.Lock()
		delete(ga.activeRequests, ar)
		ga.mu.Unlock()
		cancel(nil)
	}
}

// cancelRevoked ends the requests whose key does not hold any more.
func (ga *Gateway) cancelRevoked() {
	stale := ga.group.Fresh()
	verdicts := map[string]error{}
	ga.mu.Lock()
	defer ga.mu.Unlock()

	for ar := range ga.activeRequests {
		err, ok := verdicts[ar.keyID]
		if !ok {
			err = stale
			if err == nil {
				err = ga.checkKey(ar.keyID)
			}
			verdicts[ar.keyID] = err
		}
		if err != nil {
			ga.cfg.Meter.Count("streams.cut")
			ar.cancel(err)
		}
	}
}

// cancelCause returns the numbered error that ended ctx, or nil.
func cancelCause(ctx context.Context) *result.Error {
	if ctx.Err() == nil {
		return nil
	}
	er := result.From(context.Cause(ctx))
	if er.Code == result.Internal {
		return nil
	}

	return er
}

// admit takes a request into the limits of its workspace.
func (ga *Gateway) admit(workspace string, gateways int) (func(), error) {
	wo, ok := ga.group.View().Set.Workspaces[workspace]
	if !ok {
		return nil, result.New(result.UnknownObject, "workspace %s does not exist", workspace)
	}

	ga.mu.Lock()
	err := ga.limiter.Enter(ga.now(), workspace, wo, gateways)
	ga.mu.Unlock()
	if err != nil {
		return nil, err
	}

	return func() {
		ga.mu.Lock()
		ga.limiter.Leave(workspace)
		ga.mu.Unlock()
	}, nil
}

// Route returns the route of a name if the caller may use it.
func (ga *Gateway) Route(name string) (declaration.Route, error) {
	ro, ok := ga.group.View().Set.Routes[name]
	if !ok {
		return ro, result.New(result.UnknownRoute, "route %q does not exist", name)
	}

	return ro, nil
}

// MayUse returns an error when a workspace may not use a route.
func MayUse(ro declaration.Route, name, workspace string) error {
	if len(ro.Workspaces) == 0 {
		return nil
	}
	for _, w := range ro.Workspaces {
		if w == workspace {
			return nil
		}
	}

	return result.New(result.RouteNotAllowed, "workspace %s may not use route %s", workspace, name)
}

// RouteOfModel returns the route on which a workspace may use a model.
func (ga *Gateway) RouteOfModel(model, workspace string) (string, declaration.Route, error) {
	set := ga.group.View().Set
	if _, ok := set.Models[model]; !ok {
		return "", declaration.Route{}, result.New(result.UnknownModel, "model %q does not exist", model)
	}

	best := ""
	for name, ro := range set.Routes {
		if ro.Model == model && MayUse(ro, name, workspace) == nil && (best == "" || name < best) {
			best = name
		}
	}
	if best == "" {
		return "", declaration.Route{}, result.New(result.RouteNotAllowed, "workspace %s has no route to model %s", workspace, model)
	}

	return best, set.Routes[best], nil
}

// deadline returns the earlier of the route's timeout and the caller's own, on the gateway's clock.
func (ga *Gateway) deadline(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	dl, _ := ctx.Deadline()

	return ctx, cancel, ga.now() + time.Until(dl)
}
