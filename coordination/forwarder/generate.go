package forwarder

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/coordination/sequencer"
	"radishspoke/platform"
	"radishspoke/transport/caller"
)

const (
	// readApart is the least number of own prompt tokens that are worth
	// being read by another engine than the one that generates: about one
	// hand-over of the KV cache.
	readApart = 512

	// handOver is the time from the end of reading to the first event.
	handOver = 8 * time.Millisecond

	// readSlack and readFactor bound a reading: the time that it is
	// expected to take, that many times, and the slack.
	readSlack  = 250 * time.Millisecond
	readFactor = 4

	mostHandle = 4 << 10 // bytes of the answer to a reading
)

// prompt is how a request's prompt comes to the engine that generates.
type prompt struct {
	handle *radishspoke.Handle   // of the KV cache, if another engine has read it
	reader string                // id of that engine
	zone   string                // of that engine
	engine *radishspoke.Instance // that is to read it itself; nil for any
	done   func(time.Duration)   // ends the turn of that engine
}

// generate sends a request to a model's engines.
func (f *Forwarder) generate(ctx context.Context, j *job, s *sink) *radishspoke.Failure {
	last := "no engine"
	for {
		p, fail := f.prepare(ctx, j)
		if fail != nil {
			return fail
		}
		if p.engine == nil {
			t, err := f.generator(j, p)
			if err != nil {
				f.free(p.handle)
				return f.failed(j, "engine", last+": "+err.Error())
			}
			p.engine = &t
		}
		next, why := f.stream(ctx, j, s, p)
		if next == final {
			if why == "" {
				return nil
			}
			return f.failed(j, "engine", why)
		}
		last = why
	}
}

// generator chooses the engine that generates.
func (f *Forwarder) generator(j *job, p prompt) (radishspoke.Instance, error) {
	if p.handle == nil {
		return f.Placer.Short(j.group.Name, j.tried)
	}
	return f.Placer.Generator(j.group.Name, p.zone, j.tried)
}

// prepare has a long prompt read, or finds the engine that does so itself.
func (f *Forwarder) prepare(ctx context.Context, j *job) (prompt, *radishspoke.Failure) {
	own := j.in.Generating.Prompt
	if p := j.in.Generating.Parts; len(p) > 0 {
		own = p[len(p)-1].Tokens
	}
	if own < readApart {
		return prompt{}, nil
	}
	if f.Placer.Full(j.group.Name) {
		return prompt{}, f.failed(j, "engine", "no engine takes another answer now")
	}
	for {
		t, expected, err := f.Placer.Reader(j.group.Name, j.in.Generating, f.Turns.Expect, j.tried)
		if err != nil {
			return prompt{}, f.failed(j, "engine", err.Error())
		}
		asked := f.Clock.Now()
		done, err := f.Turns.Wait(ctx, t.ID, sequencer.Ticket{Rank: j.team.Rank, OnTime: j.onTime, Deadline: j.deadline, Rest: handOver})
		j.turn += f.Clock.Now() - asked
		if err != nil {
			return prompt{}, f.failed(j, "queue", "the prompt can't be read before the deadline")
		}
		if t.Role != radishspoke.PrefillRole {
			return prompt{engine: &t, done: done}, nil
		}
		began := f.Clock.Now()
		h, why, err := f.read(ctx, j, t, expected)
		j.read += f.Clock.Now() - began
		if err == nil {
			done(f.Clock.Now() - began)
			return prompt{handle: h, reader: t.ID, zone: t.Zone}, nil
		}
		done(0)
		if f.judge(ctx, j, false, false) == final {
			return prompt{}, f.failed(j, "engine", why)
		}
	}
}

// read has a prompt read by one engine.
func (f *Forwarder) read(ctx context.Context, j *job, t radishspoke.Instance, expected time.Duration) (*radishspoke.Handle, string, error) {
	j.visit(t)
	delete(j.tried, t.ID) // reading is not running
	f.Placer.Begin(t.ID)
	each, cancel := context.WithTimeout(ctx, readFactor*expected+readSlack)
	defer cancel()
	r, err := f.send(each, j, t, platform.Outgoing{Read: true})
	if err != nil {
		f.Placer.End(t.ID, report(ctx, nil, err))
		j.tried[t.ID] = true
		f.Targets.Forget(t.Address)
		return nil, err.Error(), err
	}
	defer r.Close()
	f.Placer.End(t.ID, report(ctx, r, nil))
	if r.Status != http.StatusOK {
		j.tried[t.ID] = true
		return nil, fmt.Sprintf("engine %s answered a reading with status %d", t.ID, r.Status), errNotRead
	}
	data, err := readBody(http.MaxBytesReader(nil, r, mostHandle), 0)
	if err != nil {
		j.tried[t.ID] = true
		return nil, err.Error(), err
	}
	h, err := platform.DecodeHandle(data, t.Address)
	if err != nil {
		j.tried[t.ID] = true
		return nil, err.Error(), err
	}
	return &h, "", nil
}

var errNotRead = errors.New("prompt was not read")

// freeTimeout bounds the call that frees a handle.
const freeTimeout = time.Second

// free gives back the KV cache of a prompt that nobody will take.
func (f *Forwarder) free(h *radishspoke.Handle) {
	if h == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		a, err := f.Targets.Do(ctx, h.Address, &caller.Call{
			Method: http.MethodDelete, Target: platform.HandlePath(*h), Host: h.Address, Header: http.Header{},
		})
		if err != nil {
			f.Log.Debug("handle not freed", "engine", h.Address, "error", err)
			return
		}
		if _, err := readBody(http.MaxBytesReader(nil, a, mostHandle), 0); err != nil {
			f.Log.Debug("handle perhaps not freed", "engine", h.Address, "error", err)
		}
		a.Close()
	}()
}
