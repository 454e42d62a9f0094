package assembler

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"radishspoke"
	"radishspoke/coordination/fleetdispatcher"
)

// wherePath is the HTTP path, at the port for other entries, at which an entry tells operators
// where a request would go.
const wherePath = "/where"

// EncodeQuestion returns the URL path and query of a question.
func EncodeQuestion(q fleetdispatcher.Question) string {
	v := url.Values{"route": {q.Route}, "team": {q.Team}, "id": {q.ID}, "deadline": {q.Deadline.String()}}
	if g := q.Generation; g != nil {
		v.Set("prompt", strconv.Itoa(g.Prompt))
		v.Set("output", strconv.Itoa(g.Output))
		for _, p := range g.Parts {
			v.Add("part", p.ID)
			v.Add("tokens", strconv.Itoa(p.Tokens))
		}
	}
	return wherePath + "?" + v.Encode()
}

// decodeQuestion is the inverse of EncodeQuestion.
func decodeQuestion(v url.Values) (fleetdispatcher.Question, error) {
	q := fleetdispatcher.Question{Route: v.Get("route"), Team: v.Get("team"), ID: v.Get("id")}
	var err error
	if q.Deadline, err = time.ParseDuration(v.Get("deadline")); err != nil || q.Deadline < 0 {
		return q, fmt.Errorf("deadline %q is no time", v.Get("deadline"))
	}
	if !v.Has("prompt") {
		return q, nil
	}
	count := func(s string) (n int) {
		x, parseErr := strconv.ParseInt(s, 10, 32)
		if parseErr != nil || x < 0 {
			err = fmt.Errorf("%q is no number of tokens", s)
		}
		return int(x)
	}
	q.Generation = &radishspoke.GenerationInfo{Prompt: count(v.Get("prompt")), Output: count(v.Get("output"))}
	if len(v["part"]) != len(v["tokens"]) {
		return q, fmt.Errorf("%d parts with %d numbers of tokens", len(v["part"]), len(v["tokens"]))
	}
	for i, id := range v["part"] {
		q.Generation.Parts = append(q.Generation.Parts, radishspoke.PromptPart{ID: id, Tokens: count(v["tokens"][i])})
	}
	return q, err
}

// serveWhere answers an operator where a request would go.
func (e *FleetEntry) serveWhere(w http.ResponseWriter, r *http.Request) {
	q, err := decodeQuestion(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l, err := e.dispatcher.Where(q, e.router, e.admitter)
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(l); err != nil {
		e.env.Log.Debug("location not sent", "to", r.RemoteAddr, "error", err)
	}
}
