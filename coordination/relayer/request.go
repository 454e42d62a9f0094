package relayer

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"radishspoke/platform"
	"radishspoke/protocol/wire"
	"radishspoke/transport/httpclient"
)

// Request is a request of a caller in the form in which it is sent to targets.
type Request struct {
	ID     string
	Method string
	Target string // path and query
	Host   string
	Header http.Header // without the headers that the system sets itself
	Body   []byte

	Team      string // empty on open routes
	LastEvent string // id of the event after which a stream resumes
}

// Call returns the call that sends the request to a target.
func (r *Request) Call(o platform.TargetHeader) *httpclient.Call {
	o.Team = r.Team
	if o.LastEvent == "" {
		o.LastEvent = r.LastEvent
	}
	return &httpclient.Call{
		Method: r.Method, RequestURI: r.Target, Host: r.Host, Header: platform.EncodeTargetHeader(r.Header, o), Body: r.Body, Instance: o.Instance,
		Matches: r.owns,
	}
}

// owns reports whether an answer of a target belongs to the request. An answer
// without a request id belongs to it only if it states that the request did not
// run and is the first one on its connection. Later it may be an earlier refusal that
// the target has written once more.
func (r *Request) owns(status int, h http.Header, first bool) bool {
	a := platform.DecodeAnswer(status, h)
	return a.ID == r.ID || a.ID == "" && a.NotRun && first
}

// Order asks a Relayer to send a request through a prefill engine and a decode
// engine. Times are relative to the time at which the order is sent; the Relayer
// counts them from the arrival of the order.
type Order struct {
	Request

	PrefillEngine string // instance id of the prefill engine, which is on the host of the Relayer
	DecodeEngine  string // instance id of the decode engine
	DecodeAddress string // address of the decode engine

	Rank            int           // among requests that can be on time, lower ranks go first
	Work            int           // see sequencer.Ticket
	OnTime          time.Duration // latest time of an answer that is on time
	Deadline        time.Duration // time after which an answer is useless
	LatestStart     time.Duration // latest time at which the request may start to run
	ExpectedPrefill time.Duration // expected prefill time, without the time in the queue
	PrefillTimeout  time.Duration // maximum time of the prefill, without the time in the queue
	FirstEvent      time.Duration // expected time from the end of the prefill to the first event
	FetchFrom       string        // address of an engine that holds a part of the prompt; empty for none

	// Hold is the id of the reservation at the decode engine, which lasts for HoldTime; empty
	// for none. HoldTime is in the headers of the order.
	Hold     string
	HoldTime time.Duration
}

// header returns the headers with which an order is sent.
func (o *Order) header() http.Header {
	h := http.Header{}
	if o.Hold != "" {
		h.Set(headerHoldTime, strconv.FormatInt(o.HoldTime.Microseconds(), 10))
	}
	return h
}

// holds reports whether the reservation of an order covers the given time after its arrival.
func (o *Order) holds(after time.Duration) bool { return o.Hold != "" && after < o.HoldTime }

// encode returns the encoding of an order as a wire.Relay message. The message
// calls the prefill engine reader, the decode engine generator, LatestStart latest
// and ExpectedPrefill reading.
func (o *Order) encode() ([]byte, error) {
	m := &wire.Relay{
		RequestId: o.ID, Method: o.Method, Path: o.Target, Host: o.Host, Body: o.Body, Team: o.Team, LastEvent: o.LastEvent,
		Reader: o.PrefillEngine, Generator: o.DecodeEngine, GeneratorAddress: o.DecodeAddress,
		Rank: int32(o.Rank), Work: int32(o.Work), OnTimeUs: o.OnTime.Microseconds(), DeadlineUs: o.Deadline.Microseconds(), LatestUs: o.LatestStart.Microseconds(), ReadingUs: o.ExpectedPrefill.Microseconds(),
		PrefillTimeoutUs: o.PrefillTimeout.Microseconds(), FirstEventUs: o.FirstEvent.Microseconds(), FetchFrom: o.FetchFrom,
		Hold: o.Hold,
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

// maxOrderTime bounds the absolute value of each time in an order. Deadlines are
// far shorter.
const maxOrderTime = time.Hour

// decodeOrder returns the order encoded in data.
func decodeOrder(data []byte) (*Order, error) {
	m := &wire.Relay{}
	if err := proto.Unmarshal(data, m); err != nil {
		return nil, fmt.Errorf("decode order: %w", err)
	}
	for _, n := range []int64{m.GetOnTimeUs(), m.GetDeadlineUs(), m.GetLatestUs(), m.GetReadingUs(), m.GetFirstEventUs(), m.GetPrefillTimeoutUs()} {
		if limit := maxOrderTime.Microseconds(); n < -limit || n > limit {
			return nil, fmt.Errorf("decode order: time of %d µs is not within %v", n, maxOrderTime)
		}
	}
	o := &Order{
		Request: Request{
			ID: m.GetRequestId(), Method: m.GetMethod(), Target: m.GetPath(), Host: m.GetHost(), Body: m.GetBody(),
			Team: m.GetTeam(), LastEvent: m.GetLastEvent(), Header: make(http.Header, len(m.GetHeaders())),
		},
		PrefillEngine: m.GetReader(), DecodeEngine: m.GetGenerator(), DecodeAddress: m.GetGeneratorAddress(),
		Rank: int(m.GetRank()), Work: int(m.GetWork()), OnTime: microseconds(m.GetOnTimeUs()), Deadline: microseconds(m.GetDeadlineUs()), LatestStart: microseconds(m.GetLatestUs()), ExpectedPrefill: microseconds(m.GetReadingUs()),
		PrefillTimeout: microseconds(m.GetPrefillTimeoutUs()), FirstEvent: microseconds(m.GetFirstEventUs()), FetchFrom: m.GetFetchFrom(),
		Hold: m.GetHold(),
	}
	for _, h := range m.GetHeaders() {
		o.Header[h.GetName()] = h.GetValues()
	}
	return o, nil
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
