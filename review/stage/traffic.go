//go:build review

package main

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"radishspoke"
	"radishspoke/platform"
)

const (
	routeHost = "depot.example"
	routePath = "/stock/"
	group     = "booking-app"
	team      = "member"
	secret    = "3d3zji9n73hh2b9wu3fe"

	heartbeat = 1200 * time.Millisecond
	callLimit = time.Second
)

// configure writes the operators' configuration: one route of safe requests to a plain
// service, and one team.
func (s *site) configure() error {
	data, err := platform.EncodeConfiguration(&radishspoke.RoutingTable{
		Version: 3, KeysRequired: true,
		Rules: []radishspoke.PathRule{{
			Name: "stock-read", Host: routeHost, Prefix: routePath, Kind: radishspoke.Safe, Timeout: callLimit, Objective: 150 * time.Millisecond,
			Rank: 2, Attempts: 2, Choices: []radishspoke.GroupShare{{Group: group, Weight: 1}},
		}},
		Groups: map[string]radishspoke.Group{group: {Name: group}},
		Teams:  []radishspoke.TeamRule{{Name: team, Rate: 1e6, Burst: 1e6, PlainTokens: 200}},
		Limits: radishspoke.CallerLimits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTime: 3 * time.Second, IdleTime: 15 * time.Second},
	}, map[string][]string{team: {secret}})
	if err != nil {
		return err
	}
	s.store.Put(platform.OperatorTable, platform.ConfigurationKey, data)
	return nil
}

// addTarget starts a target of the plain service, which lists itself in the store.
func (s *site) addTarget(id, zone string) error {
	address, err := s.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		s.noteRun(platform.RequestID(r.Header), id)
		for k, v := range platform.EncodeAnswer(platform.AnswerHeader{ID: platform.RequestID(r.Header), Stamped: true, Slots: 6}, id) {
			w.Header()[k] = v
		}
		_, _ = io.WriteString(w, "stock") // the caller may have left
	}))
	if err != nil {
		return err
	}
	i := radishspoke.Instance{ID: id, Group: group, Address: address, Zone: zone, Slots: 6, Software: "1", StartTime: time.Now()}
	go func() {
		for sequence := int64(1); ; sequence++ {
			data, err := platform.EncodeInstance(i, sequence)
			if err != nil {
				s.note("target %s not listed: %v", id, err)
				return
			}
			s.store.Put(platform.InstanceTable, id, data)
			time.Sleep(heartbeat)
		}
	}()
	return nil
}

// traffic counts the answers to callers.
type traffic struct {
	site           *site
	sent, answered atomic.Int64
}

// noteRun records that a target ran a request.
func (s *site) noteRun(request, target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[request] = append(s.runs[request], target)
}

// ran returns the targets that have run a request.
func (s *site) ran(request string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[request]
}

// callInterval is the time between two requests at one entry.
const callInterval = 100 * time.Millisecond

// run sends requests to an entry, each on a new connection, while the entry is ready.
func (t *traffic) run(p *process) {
	client := &http.Client{Timeout: callLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	for misses, n := 0, 0; ; n++ {
		select {
		case <-p.ended:
			return
		case <-time.After(callInterval):
		}
		if n%10 == 0 { // the platform asks once a second, and two misses take an entry out
			if misses++; p.ready() {
				misses = 0
			}
		}
		if misses > 1 {
			continue
		}
		q, err := http.NewRequest(http.MethodGet, "http://"+p.settings.Callers+routePath+"2f", strings.NewReader(""))
		if err != nil {
			return
		}
		q.Host = routeHost
		id := strings.ReplaceAll(uuid.NewString(), "-", "")[:16]
		q.Header = platform.EncodeRequest(platform.CallerHeader{ID: id, Secret: secret, Deadline: callLimit})
		t.sent.Add(1)
		sent := t.site.since()
		r, err := client.Do(q)
		if err != nil {
			t.site.note("request %s sent to %s at %.3f s, run by %v, no answer: %v", id, p.settings.Name, sent.Seconds(), t.site.ran(id), err)
			continue
		}
		if _, err := io.Copy(io.Discard, r.Body); err == nil && r.StatusCode == http.StatusOK {
			t.answered.Add(1)
		}
		_ = r.Body.Close()
		t.site.note("request %s sent to %s at %.3f s, run by %v, answered %d", id, p.settings.Name, sent.Seconds(), t.site.ran(id), r.StatusCode)
	}
}
