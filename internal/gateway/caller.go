package gateway

import (
	"context"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/declaration"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

// Caller identifies the workspace and key that a request runs under.
type Caller struct {
	Workspace string
	KeyID     string // "" on an open route
	Secret    string // secret part of the key; scrub keeps it from backend servers
}

// Authenticate returns the caller that the token belongs to.
func (ga *Gateway) Authenticate(token string) (Caller, error) {
	if err := ga.group.CheckFresh(); err != nil {
		return Caller{}, err
	}
	if token == "" {
		return Caller{}, result.New(result.MissingKey, "the request carries no key")
	}

	id, secret, ok := declaration.ParseToken(token)
	if !ok {
		return Caller{}, result.New(result.UnknownKey, "the key is unknown")
	}
	ke, found := ga.group.View().Set.Keys[id]
	// Compare even for an unknown ID, so that the response time does not reveal which IDs exist.
	if matches := ke.Matches(secret); !found || !matches {
		return Caller{}, result.New(result.UnknownKey, "the key is unknown")
	}
	if err := ga.checkKey(id); err != nil {
		return Caller{}, err
	}

	return Caller{Workspace: ke.Workspace, KeyID: id, Secret: secret}, nil
}

// checkKey returns an error if the key was withdrawn or has expired.
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

// activeRequest is a running request that is canceled when its key becomes invalid.
type activeRequest struct {
	keyID  string
	cancel context.CancelCauseFunc
}

// WithKeyCancellation returns a context that is canceled when the caller's key is withdrawn or
// expires, or when this process's view is too stale to verify keys. The cause is
// a numbered error.
func (ga *Gateway) WithKeyCancellation(ctx context.Context, ca Caller) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	if ca.KeyID == "" {
		return ctx, func() { cancel(nil) }
	}

	ar := &activeRequest{keyID: ca.KeyID, cancel: cancel}
	ga.mu.Lock()
	ga.activeRequests[ar] = struct{}{}
	ga.mu.Unlock()
	// The key may have been withdrawn between Authenticate and the registration above.
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

// cancelRevoked cancels the active requests whose key was withdrawn or has expired,
// and all of them once this process's view is too stale to verify keys.
func (ga *Gateway) cancelRevoked() {
	stale := ga.group.CheckFresh()
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

// cancelCause returns the numbered error that canceled ctx, or nil.
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

// admit counts a request against the limits of its workspace. The returned
// function ends the count.
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

// Route returns the route with the given name. CheckRouteAccess checks who may use it.
func (ga *Gateway) Route(name string) (declaration.Route, error) {
	ro, ok := ga.group.View().Set.Routes[name]
	if !ok {
		return ro, result.New(result.UnknownRoute, "route %q does not exist", name)
	}

	return ro, nil
}

// CheckRouteAccess returns an error if the workspace may not use the route.
func CheckRouteAccess(ro declaration.Route, name, workspace string) error {
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

// RouteOfModel returns the route through which a workspace may use a model: the
// first by name if there are several.
func (ga *Gateway) RouteOfModel(model, workspace string) (string, declaration.Route, error) {
	set := ga.group.View().Set
	if _, ok := set.Models[model]; !ok {
		return "", declaration.Route{}, result.New(result.UnknownModel, "model %q does not exist", model)
	}

	best := ""
	for name, ro := range set.Routes {
		if ro.Model == model && CheckRouteAccess(ro, name, workspace) == nil && (best == "" || name < best) {
			best = name
		}
	}
	if best == "" {
		return "", declaration.Route{}, result.New(result.RouteNotAllowed, "workspace %s has no route to model %s", workspace, model)
	}

	return best, set.Routes[best], nil
}

// deadline bounds ctx by timeout. It also returns the resulting deadline on the
// gateway's clock, which is earlier if ctx already had an earlier one.
func (ga *Gateway) deadline(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	dl, _ := ctx.Deadline()

	return ctx, cancel, ga.now() + time.Until(dl)
}
