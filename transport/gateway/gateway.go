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

// The headers of the callers' interface.
const (
	RequestHeader     = "Radishspoke-Request"
	OutcomeHeader     = "Radishspoke-Outcome"
	DeadlineHeader    = "Radishspoke-Deadline" // a duration such as 1.5s
	PriorityHeader    = "Radishspoke-Priority" // a whole number, higher goes first
	IdempotencyHeader = "Idempotency-Key"
)

// Settings of a Gateway.
type Settings struct {
	// MaxBody is the longest request body, in bytes; 4 MiB if zero.
	MaxBody int64

	// BodyTimeout bounds the time in which a caller sends a body; 30 s if
	// zero.
	BodyTimeout time.Duration

	// WriteTimeout bounds the time in which a caller takes a part of an
	// answer; 30 s if zero.
	WriteTimeout time.Duration
}

const (
	defaultMaxBody      = 4 << 20
	defaultBodyTimeout  = 30 * time.Second
	defaultWriteTimeout = 30 * time.Second
	maxPriority         = 100
)

func (s *Settings) fill() {
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

// Dispatch carries out a request. See dispatcher.Dispatcher.Do.
type Dispatch func(ctx context.Context, q *radishspoke.Request, s radishspoke.Sink) error

// Gateway is the callers' HTTP handler. Make it with New.
type Gateway struct {
	settings Settings
	auth     *authenticator.Authenticator
	dispatch Dispatch
	log      *slog.Logger
	router   *mux.Router
	config   atomic.Pointer[radishspoke.Inventory]
}

// New returns a Gateway without routes.
func New(s Settings, a *authenticator.Authenticator, d Dispatch, log *slog.Logger) *Gateway {
	s.fill()
	g := &Gateway{settings: s, auth: a, dispatch: d, log: log, router: mux.NewRouter()}
	g.router.HandleFunc("/v1/models", g.getModels).Methods(http.MethodGet)
	g.router.PathPrefix("/").HandlerFunc(g.serveRoute)
	g.router.SkipClean(true)
	return g
}

// Configure takes a new inventory.
func (g *Gateway) Configure(v *radishspoke.Inventory) { g.config.Store(v) }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.router.ServeHTTP(w, r) }

func (g *Gateway) getModels(w http.ResponseWriter, r *http.Request) {
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

func notReady() *radishspoke.Failure {
	return &radishspoke.Failure{
		Outcome: radishspoke.OutcomeNotRun, Status: http.StatusServiceUnavailable, Code: "not_ready",
		Message: "this entry has no configuration yet", RetryAfter: time.Second,
	}
}

// serveRoute finds the route of a request, checks its key and serves it.
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
		g.serveModel(w, r, q, v)
		return
	}
	g.serveCall(w, r, q)
}

// findRoute returns the route with the longest path that matches.
func findRoute(routes []radishspoke.Route, r *http.Request) (radishspoke.Route, *radishspoke.Failure) {
	best, found, path := radishspoke.Route{}, false, false
	for _, e := range routes {
		if !matches(e.Path, r.URL.Path) {
			continue
		}
		path = true
		if allows(e.Methods, r.Method) && (!found || len(e.Path) > len(best.Path)) {
			best, found = e, true
		}
	}
	switch {
	case found:
		return best, nil
	case path:
		return best, badRequest(http.StatusMethodNotAllowed, "method_not_allowed", "", "method "+r.Method+" is not allowed at "+r.URL.Path)
	}
	return best, badRequest(http.StatusNotFound, "no_route", "", "there is no route to "+r.URL.Path)
}

// matches tells whether path is prefix or lies below it.
func matches(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

func allows(methods []string, method string) bool {
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

// authenticate returns the key of a request.
func (g *Gateway) authenticate(r *http.Request) (radishspoke.Key, *radishspoke.Failure) {
	secret, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	k, err := g.auth.Check(strings.TrimSpace(secret))
	switch {
	case err == nil:
		return k, nil
	case errors.Is(err, authenticator.ErrStanding):
		return k, &radishspoke.Failure{
			Outcome: radishspoke.OutcomeNotRun, Status: http.StatusServiceUnavailable, Code: "keys_not_checked",
			Message: err.Error(), RetryAfter: time.Second,
		}
	}
	return k, badRequest(http.StatusUnauthorized, "invalid_api_key", "", err.Error())
}

// applyDeadline shortens the deadline to the one that the caller brings.
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
