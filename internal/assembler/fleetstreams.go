package assembler

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"radishspoke"
	"radishspoke/coordination/registrar"
	"radishspoke/protocol/wire"
	"radishspoke/transport/httpclient"
)

const (
	// streamPath is the HTTP path at which a sidecar answers questions about streams, on
	// relayPort.
	streamPath = "/stream"

	keyParameter   = "key" // hexadecimal
	groupParameter = "group"
	spanParameter  = "span_ms"

	maxReplyBytes = 16 << 10 // bytes
)

// streamTransport carries records of streams and questions about them to sidecars. It
// implements registrar.Transport.
type streamTransport struct {
	process   string
	firstPort int
	conn      net.PacketConn
	client    *httpclient.Client
	clock     radishspoke.Clock
	log       *slog.Logger
}

// Send implements registrar.Transport.
func (t *streamTransport) Send(host string, records []registrar.Record) {
	m := &wire.Gossip{Process: t.process}
	for _, o := range records {
		m.Streams = append(m.Streams, encodeRecord(o, t.clock.Now()))
	}
	data, err := proto.Marshal(m)
	if err != nil {
		t.log.Error("datagram not encoded", "error", err)
		return
	}
	address, err := netip.ParseAddr(host)
	if err != nil {
		t.log.Error("address of a sidecar is malformed", "host", host, "error", err)
		return
	}
	to := net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, uint16(t.firstPort+sidecarPort)))
	if _, err := t.conn.WriteTo(data, to); err != nil {
		t.log.Debug("datagram not sent", "to", to, "error", err)
	}
}

// Ask implements registrar.Transport.
func (t *streamTransport) Ask(ctx context.Context, host string, k registrar.Key, group string, span time.Duration) (registrar.Reply, error) {
	address := net.JoinHostPort(host, strconv.Itoa(t.firstPort+relayPort))
	q := url.Values{keyParameter: {strconv.FormatUint(uint64(k), 16)}, groupParameter: {group}, spanParameter: {strconv.FormatInt(span.Milliseconds(), 10)}}
	resp, err := t.client.Do(ctx, address, &httpclient.Call{Method: http.MethodGet, RequestURI: streamPath + "?" + q.Encode(), Host: address, Header: http.Header{}})
	if err != nil {
		return registrar.Reply{}, fmt.Errorf("ask sidecar %s: %w", address, err)
	}
	defer resp.Close()
	data, err := io.ReadAll(http.MaxBytesReader(nil, resp, maxReplyBytes))
	if err != nil {
		return registrar.Reply{}, fmt.Errorf("ask sidecar %s: %w", address, err)
	}
	if resp.Status != http.StatusOK {
		return registrar.Reply{}, fmt.Errorf("ask sidecar %s: status %d", address, resp.Status)
	}
	m := &wire.StreamReply{}
	if err := proto.Unmarshal(data, m); err != nil {
		return registrar.Reply{}, fmt.Errorf("ask sidecar %s: %w", address, err)
	}
	out := registrar.Reply{Sole: m.GetSole(), Span: time.Duration(m.GetSpanMs()) * time.Millisecond}
	if m.GetRecord() != nil {
		out.Record, out.Known = decodeRecord(m.GetRecord(), t.clock.Now()), true
	}
	return out, nil
}

// encodeRecord encodes a record at the time now.
func encodeRecord(o registrar.Record, now time.Duration) *wire.StreamRecord {
	return &wire.StreamRecord{Key: uint64(o.Key), Group: o.Version.Group, Software: o.Version.Software, LeftMs: (o.Until - now).Milliseconds()}
}

// maxRecordTime bounds the time for which a record from another process is kept.
const maxRecordTime = 2 * time.Hour

// decodeRecord is the inverse of encodeRecord.
func decodeRecord(m *wire.StreamRecord, now time.Duration) registrar.Record {
	left := min(max(0, m.GetLeftMs()), maxRecordTime.Milliseconds())
	return registrar.Record{
		Key: registrar.Key(m.GetKey()), Version: registrar.Version{Group: m.GetGroup(), Software: m.GetSoftware()},
		Until: now + time.Duration(left)*time.Millisecond,
	}
}

// serveStream answers a question about a stream.
func (d *FleetSidecar) serveStream(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	key, err := strconv.ParseUint(q.Get(keyParameter), 16, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	span, err := strconv.ParseInt(q.Get(spanParameter), 10, 64)
	if err != nil || span < 0 || span > maxRecordTime.Milliseconds() {
		span = maxRecordTime.Milliseconds() // an entry of an older release does not state it
	}
	reply := d.registrar.Reply(registrar.Key(key), q.Get(groupParameter), time.Duration(span)*time.Millisecond, d.listCurrent())
	m := &wire.StreamReply{Sole: reply.Sole, SpanMs: reply.Span.Milliseconds()}
	if reply.Known {
		m.Record = encodeRecord(reply.Record, d.env.Clock.Now())
	}
	data, err := proto.Marshal(m)
	if err != nil {
		d.env.Log.Error("answer not encoded", "error", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data) // the entry may have gone
}

// receiveStreams keeps the records of streams in a datagram of another process.
func (d *FleetSidecar) receiveStreams(list []*wire.StreamRecord) {
	records, now := make([]registrar.Record, len(list)), d.env.Clock.Now()
	for k, m := range list {
		records[k] = decodeRecord(m, now)
	}
	d.registry.Put(records...)
}

// handOverStreams passes the records of streams on. It reads the list of targets before, as
// sidecars that stop together must not pass them to each other.
func (d *FleetSidecar) handOverStreams() {
	ctx, cancel := context.WithTimeout(context.Background(), refusalTime)
	defer cancel()
	if err := d.watcher.ReadInstances(ctx); err != nil {
		d.env.Log.Warn("records of streams are passed on by an old list of targets", "error", err)
	}
	d.registrar.HandOver(d.settings.IP)
}

// listCurrent reports whether the list of targets is known to be current.
func (d *FleetSidecar) listCurrent() bool {
	_, until := d.watcher.Followed()
	return d.env.Clock.Now()-until <= notificationTimeout
}
