package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/coordination/authenticator"
)

// Headers of requests and responses in the interface for callers.
const (
	RequestHeader     = "Radishspoke-Request"  // id of the request, in responses
	OutcomeHeader     = "Radishspoke-Outcome"  // a radishspoke.Outcome, in responses
	DeadlineHeader    = "Radishspoke-Deadline" // a duration such as 1.5s
	PriorityHeader    = "Radishspoke-Priority" // an integer; higher values run first
	IdempotencyHeader = "Idempotency-Key"      // used on service routes that are not idempotent
)

// Settings configures a Gateway.
type Settings struct {
	// MaxBody is the maximum length of a request body in bytes. If zero, it
	// is 4 MiB.
	MaxBody int64

	// BodyTimeout is the timeout for reading a request body. If zero, it is
	// 30 s.
	BodyTimeout time.Duration

	// WriteTimeout is the timeout for writing one part of a response. If
	// zero, it is 30 s.
	WriteTimeout time.Duration
}

const (
	defaultMaxBody      = 4 << 20 // bytes
	defaultBodyTimeout  = 30 * time.Second
	defaultWriteTimeout = 30 * time.Second
	maxPriority         = 100 // priorities are limited to -100 to 100
)

// setDefaults replaces zero values by the defaults.
func (s *Settings) setDefaults() {
	if s.MaxBody == 0 {
		s.MaxBody = defaultMaxBody
	}
	if s.BodyTimeout == 0 {
		s.BodyTimeout = defaultBodyTimeout
	}
	if s.WriteTimeout == 0 {
		s.WriteTimeout = defaultWriteTimeout
	}
}

// Dispatch runs the request q and passes its response to s. It is implemented by the
// Do method of dispatcher.Dispatcher.
type Dispatch func(ctx context.Context, q *radishspoke.Request, s radishspoke.Sink) error

// Gateway is the HTTP handler for callers. Create one with New.
type Gateway struct {
	settings Settings
	auth     *authenticator.Authenticator
	dispatch Dispatch
	log      *slog.Logger
	router   *mux.Router
	config   atomic.Pointer[radishspoke.Inventory]
}

// New returns a Gateway that authenticates callers with a and runs requests with d.
// It has no routes and responds with status 503 until Configure has been called.
func New(s Settings, a *authenticator.Authenticator, d Dispatch, log *slog.Logger) *Gateway {
	s.setDefaults()
	g := &Gateway{settings: s, auth: a, dispatch: d, log: log, router: mux.NewRouter()}
	g.router.HandleFunc("/v1/models", g.serveModelList).Methods(http.MethodGet)
	g.router.PathPrefix("/").HandlerFunc(g.serveRoute)
	g.router.SkipClean(true)
	return g
}

// Configure sets the inventory, whose routes, models and rules apply to the requests
// that arrive afterwards. It may be called while requests are served.
func (g *Gateway) Configure(v *radishspoke.Inventory) { g.config.Store(v) }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.router.ServeHTTP(w, r) }

// serveModelList responds with the list of models in the format of the OpenAI API.
func (g *Gateway) serveModelList(w http.ResponseWriter, r *http.Request) {
	id := uuid.NewString()
	v := g.config.Load()
	if v == nil {
		writeFailure(w, id, notReady())
		return
	}
	if _, f := g.authenticate(r); f != nil {
		writeFailure(w, id, f)
		return
	}
	list := modelList{Object: "list", Data: make([]modelEntry, 0, len(v.Models))}
	for _, m := range v.Models {
		list.Data = append(list.Data, modelEntry{ID: m.Name, Object: "model", OwnedBy: "radishspoke"})
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	w.Header().Set(RequestHeader, id)
	writeJSON(w, http.StatusOK, list)
}

// notReady returns the failure of a request that arrives before the first
// configuration.
func notReady() *radishspoke.Failure {
	return &radishspoke.Failure{
		Outcome: radishspoke.OutcomeNotRun, Status: http.StatusServiceUnavailable, Code: "not_ready",
		Message: "this entry has no configuration yet", RetryAfter: time.Second,
	}
}

// serveRoute finds the route of a request, authenticates the caller unless the route
// is open, and serves the request.
func (g *Gateway) serveRoute(w http.ResponseWriter, r *http.Request) {
	id := uuid.NewString()
	v := g.config.Load()
	if v == nil {
		writeFailure(w, id, notReady())
		return
	}
	route, f := findRoute(v.Routes, r)
	if f != nil {
		writeFailure(w, id, f)
		return
	}
	q := &radishspoke.Request{ID: id, Route: route, Deadline: time.Now().Add(route.Deadline)}
	if !route.Open {
		q.Key, f = g.authenticate(r)
		q.Team = q.Key.Team
	}
	r.Header.Del("Authorization")
	if f == nil {
		f = applyDeadline(q, r)
	}
	if f != nil {
		writeFailure(w, id, f)
		return
	}
	if route.Kind == radishspoke.ModelRoute {
		g.serveCompletion(w, r, q, v)
		return
	}
	g.serveCall(w, r, q)
}

// findRoute returns the route of a request. Of the routes whose path is a prefix of
// the request's path and that allow its method, it is the one with the longest path.
func findRoute(routes []radishspoke.Route, r *http.Request) (radishspoke.Route, *radishspoke.Failure) {
	best, found, pathFound := radishspoke.Route{}, false, false
	for _, e := range routes {
		if !hasPathPrefix(e.Path, r.URL.Path) {
			continue
		}
		pathFound = true
		if allowsMethod(e.Methods, r.Method) && (!found || len(e.Path) > len(best.Path)) {
			best, found = e, true
		}
	}
	switch {
	case found:
		return best, nil
	case pathFound:
		return best, badRequest(http.StatusMethodNotAllowed, "method_not_allowed", "", "method "+r.Method+" is not allowed at "+r.URL.Path)
	}
	return best, badRequest(http.StatusNotFound, "no_route", "", "there is no route to "+r.URL.Path)
}

// hasPathPrefix returns whether path is equal to prefix or is below it.
func hasPathPrefix(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

// allowsMethod returns whether a route with the given methods allows method. A route
// without methods allows all.
func allowsMethod(methods []string, method string) bool {
	if len(methods) == 0 {
		return true
	}
	for _, m := range methods {
		if m == method {
			return true
		}
	}
	return false
}

// authenticate returns the key of a request, or the failure if the key is not valid
// or cannot be checked at present.
func (g *Gateway) authenticate(r *http.Request) (radishspoke.Key, *radishspoke.Failure) {
	secret, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	k, err := g.auth.Check(strings.TrimSpace(secret))
	switch {
	case err == nil:
		return k, nil
	case errors.Is(err, authenticator.ErrStaleConfig):
		return k, &radishspoke.Failure{
			Outcome: radishspoke.OutcomeNotRun, Status: http.StatusServiceUnavailable, Code: "keys_not_checked",
			Message: err.Error(), RetryAfter: time.Second,
		}
	}
	return k, badRequest(http.StatusUnauthorized, "invalid_api_key", "", err.Error())
}

// applyDeadline sets the deadline of q to the one in the headers of r, if that is
// earlier. It returns a failure if the header is not a positive duration.
func applyDeadline(q *radishspoke.Request, r *http.Request) *radishspoke.Failure {
	text := r.Header.Get(DeadlineHeader)
	if text == "" {
		return nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return badRequest(http.StatusBadRequest, "bad_deadline", DeadlineHeader, "header "+DeadlineHeader+" is not a positive duration such as 1.5s")
	}
	if at := time.Now().Add(d); at.Before(q.Deadline) {
		q.Deadline = at
	}
	return nil
}
