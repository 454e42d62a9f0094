package relayer

import (
	"fmt"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"radishspoke/platform"
	"radishspoke/protocol/wire"
	"radishspoke/transport/caller"
)

// Request is a caller's request on its way to targets.
type Request struct {
	ID     string
	Method string
	Target string // path and query
	Host   string
	Header http.Header // without what is the system's to set
	Body   []byte

	Team      string // empty on open routes
	LastEvent string // after which a stream goes on
}

// Call returns the call that sends the request to a target.
func (r *Request) Call(o platform.Outgoing) *caller.Call {
	o.Team = r.Team
	if o.LastEvent == "" {
		o.LastEvent = r.LastEvent
	}
	return &caller.Call{
		Method: r.Method, Target: r.Target, Host: r.Host, Header: platform.Address(r.Header, o), Body: r.Body,
		Mine: r.mine,
	}
}

// mine tells whether a target's answer belongs to the request.
func (r *Request) mine(status int, h http.Header) bool {
	a := platform.DecodeAnswer(status, h)
	return a.ID == r.ID || a.ID == "" && a.NotRun
}

// Order asks a Relayer to take a request through two engines. Times count from
// the sending on.
type Order struct {
	Request

	Reader           string // id of the lifetime of the engine beside the Relayer
	Generator        string // id of the lifetime of the engine that generates
	GeneratorAddress string

	Rank     int           // lower goes first among those on time
	OnTime   time.Duration // until when an answer is on time
	Deadline time.Duration // until when it is of any use
	Latest   time.Duration // until when it may start to run
	Reading  time.Duration // expected for the reading, without its turn
}

// encode returns an order's bytes.
func (o *Order) encode() ([]byte, error) {
	m := &wire.Relay{
		RequestId: o.ID, Method: o.Method, Path: o.Target, Host: o.Host, Body: o.Body, Team: o.Team, LastEvent: o.LastEvent,
		Reader: o.Reader, Generator: o.Generator, GeneratorAddress: o.GeneratorAddress,
		Rank: int32(o.Rank), OnTimeUs: o.OnTime.Microseconds(), DeadlineUs: o.Deadline.Microseconds(), LatestUs: o.Latest.Microseconds(), ReadingUs: o.Reading.Microseconds(),
	}
	for k, v := range o.Header {
		m.Headers = append(m.Headers, &wire.Header{Name: k, Values: v})
	}
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode order: %w", err)
	}
	return data, nil
}

// mostTime bounds the times of an order either way; deadlines are far shorter.
const mostTime = time.Hour

// decodeOrder reads an order's bytes.
func decodeOrder(data []byte) (*Order, error) {
	m := &wire.Relay{}
	if err := proto.Unmarshal(data, m); err != nil {
		return nil, fmt.Errorf("decode order: %w", err)
	}
	for _, n := range []int64{m.GetOnTimeUs(), m.GetDeadlineUs(), m.GetLatestUs(), m.GetReadingUs()} {
		if most := mostTime.Microseconds(); n < -most || n > most {
			return nil, fmt.Errorf("decode order: time of %d µs is not within %v", n, mostTime)
		}
	}
	o := &Order{
		Request: Request{
			ID: m.GetRequestId(), Method: m.GetMethod(), Target: m.GetPath(), Host: m.GetHost(), Body: m.GetBody(),
			Team: m.GetTeam(), LastEvent: m.GetLastEvent(), Header: make(http.Header, len(m.GetHeaders())),
		},
		Reader: m.GetReader(), Generator: m.GetGenerator(), GeneratorAddress: m.GetGeneratorAddress(),
		Rank: int(m.GetRank()), OnTime: microseconds(m.GetOnTimeUs()), Deadline: microseconds(m.GetDeadlineUs()), Latest: microseconds(m.GetLatestUs()), Reading: microseconds(m.GetReadingUs()),
	}
	for _, h := range m.GetHeaders() {
		o.Header[h.GetName()] = h.GetValues()
	}
	return o, nil
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
