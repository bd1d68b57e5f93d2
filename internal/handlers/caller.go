package handlers

import (
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"

	"github.com/tamarackbay/tamarackbay/internal/gateway"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

// Callers serves callers and trainers.
type Callers struct {
	gateway *gateway.Gateway
}

// NewCallers returns the router of the callers' listener.
func NewCallers(ga *gateway.Gateway) http.Handler {
	ca := &Callers{gateway: ga}
	r := chi.NewRouter()
	r.Use(limitHeader(ga.Settings().MaxHeaderBytes, ca.refuse))
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	r.Get("/readyz", ca.ready)
	r.Post("/v1/completions", ca.withCaller(ca.completions))
	r.Post("/v1/chat/completions", ca.withCaller(ca.chat))
	r.Post("/v1/steps", ca.withCaller(ca.openStep))
	r.Get("/v1/steps/{step}/pages/{page}", ca.withCaller(ca.page))
	r.Post("/v1/steps/{step}/pages/{page}/ack", ca.withCaller(ca.ack))
	r.Post("/v1/models/{model}/versions", ca.withCaller(ca.pushVersion))
	r.HandleFunc("/r/{route}", ca.forward)
	r.HandleFunc("/r/{route}/*", ca.forward)
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		ca.refuse(w, result.New(result.UnknownRoute, "path %s is not served", r.URL.Path))
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		ca.refuse(w, result.New(result.MethodNotAllowed, "path %s does not accept method %s", r.URL.Path, r.Method))
	})

	return r
}

// refuse counts an error and answers with it.
func (ca *Callers) refuse(w http.ResponseWriter, err error) {
	ca.gateway.Meter().CountRefusal(err)
	writeError(w, err)
}

func (ca *Callers) ready(w http.ResponseWriter, _ *http.Request) {
	if err := ca.gateway.Ready(); err != nil {
		writeError(w, err)

		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// withCaller authenticates a request. The request's context ends once its key is no
// longer valid.
func (ca *Callers) withCaller(next func(w http.ResponseWriter, r *http.Request, cl gateway.Caller)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		cl, err := ca.gateway.Authenticate(bearer(r))
		if err != nil {
			ca.refuse(w, err)

			return
		}
		ctx, done := ca.gateway.WithKeyCancellation(r.Context(), cl)
		defer done()
		next(w, r.WithContext(ctx), cl)
	}
}

// forward serves plain services under /r/{route}.
func (ca *Callers) forward(w http.ResponseWriter, r *http.Request) {
	name := chi.URLParam(r, "route")
	ro, err := ca.gateway.Route(name)
	if err != nil {
		// A request without a valid key must not reveal which routes exist.
		if _, aerr := ca.gateway.Authenticate(bearer(r)); aerr != nil {
			err = aerr
		}
		ca.refuse(w, err)

		return
	}

	cl := gateway.Caller{Workspace: ro.OpenWorkspace}
	if ro.Open {
		err = ca.gateway.Group().CheckFresh()
	} else {
		cl, err = ca.gateway.Authenticate(bearer(r))
	}
	if err == nil {
		err = gateway.CheckRouteAccess(ro, name, cl.Workspace)
	}
	if err == nil && ro.Service == "" {
		err = result.New(result.UnknownRoute, "route %q serves a model: use /v1/completions", name)
	}
	if err != nil {
		ca.refuse(w, err)

		return
	}
	timeout, err := callerTimeout(r, ro.Timeout())
	if err != nil {
		ca.refuse(w, err)

		return
	}
	body, err := readBody(ca.gateway.Intake(), w, r, int64(ro.MaxBodyBytes))
	if err != nil {
		ca.refuse(w, err)

		return
	}

	ctx, done := ca.gateway.WithKeyCancellation(r.Context(), cl)
	defer done()
	rw := &replyWriter{w: w}
	err = ca.gateway.Forward(ctx, gateway.ForwardRequest{
		Caller: cl, RouteName: name, Route: ro, Method: r.Method, Path: pathAfterRoute(r, name), Query: r.URL.RawQuery,
		Header: r.Header, Body: body, IdempotencyKey: r.Header.Get("Idempotency-Key"), Timeout: timeout,
	}, gateway.ReplyWriter{Head: rw.head, Body: rw.body})
	if err == nil {
		return
	}
	ca.gateway.Meter().CountRefusal(err)
	if rw.headSent {
		// The caller has received a part. Only a broken connection shows that the
		// answer is incomplete.
		panic(http.ErrAbortHandler)
	}
	writeError(w, err)
}

// pathAfterRoute returns the escaped path after /r/{route}.
func pathAfterRoute(r *http.Request, name string) string {
	p := strings.TrimPrefix(r.URL.EscapedPath(), "/r/"+name)
	if !strings.HasPrefix(p, "/") {
		p = "/" + p
	}

	return p
}

// replyWriter forwards an answer part by part.
type replyWriter struct {
	w        http.ResponseWriter
	headSent bool
}

func (rw *replyWriter) head(requestID string, status int, h http.Header) {
	rw.headSent = true
	for name, values := range h {
		rw.w.Header()[name] = values
	}
	rw.w.Header().Set("X-Request-Id", requestID)
	rw.w.WriteHeader(status)
}

func (rw *replyWriter) body(b []byte) error {
	if _, err := rw.w.Write(b); err != nil {
		return err
	}

	return http.NewResponseController(rw.w).Flush()
}
