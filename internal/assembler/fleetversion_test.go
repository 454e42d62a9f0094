package assembler

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke"
	"radishspoke/coordination/registrar"
	"radishspoke/internal/fake"
	"radishspoke/platform"
	"radishspoke/transport/eventreader"
)

// versionedEngine is an engine that runs a version of the software. It writes events that
// name the version, and ends only the streams that it resumes.
type versionedEngine struct {
	id, software string
}

// ServeHTTP implements http.Handler.
func (e *versionedEngine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.Method != http.MethodPost || platform.ExpectedInstance(q.Header) != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	for k, v := range platform.EncodeAnswer(platform.AnswerHeader{ID: platform.RequestID(q.Header), Stamped: true}, e.id) {
		w.Header()[k] = v
	}
	w.Header().Set("Content-Type", "text/event-stream")
	if request, err := platform.DecodeReceivedHeader(q.Header); err == nil && request.LastEvent != "" {
		_, _ = fmt.Fprintf(w, "id: 2\ndata: %s\n\n", e.software)
		return
	}
	_, _ = fmt.Fprintf(w, "id: 1\ndata: %s\n\n", e.software)
	_ = http.NewResponseController(w).Flush()
	<-q.Context().Done()
}

// listVersioned starts an engine at an address and lists it.
func listVersioned(c *qt.C, rows *fake.RowStore, ip, software string) radishspoke.Instance {
	id := "e-" + ip
	l, err := net.Listen("tcp", ip+":0")
	c.Assert(err, qt.IsNil)
	server := &http.Server{Handler: &versionedEngine{id, software}}
	go func() { _ = server.Serve(l) }()
	c.Cleanup(func() { _ = server.Close() })
	i := radishspoke.Instance{ID: id, Group: "llm", Role: radishspoke.DecodeRole, Address: l.Addr().String(), Software: software}
	listTarget(c, rows, i)
	return i
}

// versionedSidecar is a sidecar with its engine.
type versionedSidecar struct {
	*FleetSidecar
	engine radishspoke.Instance
}

// startSidecar starts an engine and its sidecar at an address.
func startSidecar(c *qt.C, rows *fake.RowStore, s platform.Settings, ip, software string) versionedSidecar {
	i := listVersioned(c, rows, ip, software)
	s.Name, s.IP, s.Engine, s.Group = "side-"+ip, ip, i.Address, "llm"
	d, err := NewFleetSidecar(s, fleetEnv(), 0)
	c.Assert(err, qt.IsNil)
	c.Assert(d.Start(), qt.IsNil)
	return versionedSidecar{d, i}
}

// phoneConfig returns the row value of a configuration with a resumable streaming route.
func phoneConfig(c *qt.C) []byte {
	data, err := platform.EncodeConfiguration(&radishspoke.RoutingTable{
		Version: 3, KeysRequired: true,
		Rules: []radishspoke.PathRule{{
			Name: "r", Host: "shop.example", Prefix: "/p/", Kind: radishspoke.Streaming, Timeout: 20 * time.Second, Resumable: true, Generation: true,
			Objective: 5 * time.Second, Attempts: 2, Choices: []radishspoke.GroupShare{{Group: "llm", Weight: 1}},
		}},
		Groups: map[string]radishspoke.Group{"llm": {Name: "llm", Engine: &radishspoke.EngineLimits{Slots: 32}}},
		Teams:  []radishspoke.TeamRule{{Name: "t", PlainTokens: 200, Rate: 1e6, Burst: 1e6}},
	}, map[string][]string{"t": {"secret"}})
	c.Assert(err, qt.IsNil)
	return data
}

// kill ends an entry as SIGKILL does: nothing is passed on to other processes.
func (e *FleetEntry) kill() {
	e.stopTasks()
	for _, s := range []*http.Server{e.callerServer, e.readyServer, e.peerServer} {
		_ = s.Close()
	}
	_ = e.udpConn.Close()
}

// openStream sends a request to an entry and reads the first event of its answer. It returns
// the status and the software version that the event names.
func openStream(c *qt.C, e *FleetEntry, in platform.CallerHeader) (int, string) {
	conn, err := net.Dial("tcp", e.listener.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	q, err := http.NewRequest(http.MethodPost, "http://shop.example/p/", strings.NewReader("body"))
	c.Assert(err, qt.IsNil)
	in.Secret, in.Deadline, in.Generation = "secret", 20*time.Second, &radishspoke.GenerationInfo{Model: "m", Prompt: 10, Output: 2}
	q.Header = platform.EncodeRequest(in)
	c.Assert(q.Write(conn), qt.IsNil)
	a, err := http.ReadResponse(bufio.NewReader(conn), q)
	c.Assert(err, qt.IsNil)
	if a.StatusCode != http.StatusOK {
		return a.StatusCode, ""
	}
	var event []byte
	for buffer := make([]byte, 1<<10); eventreader.End(event) == 0; {
		n, err := a.Body.Read(buffer)
		event = append(event, buffer[:n]...)
		c.Assert(err == nil || eventreader.End(event) > 0, qt.IsTrue, qt.Commentf("%v after %q", err, event))
	}
	_, data, _ := strings.Cut(string(event), "data: ")
	return a.StatusCode, strings.TrimSpace(data)
}

// startVersioned starts an entry and waits until it knows the configuration and all engines.
func startVersioned(c *qt.C, s platform.Settings, engines int) *FleetEntry {
	e, err := NewFleetEntry(s, fleetEnv(), 0)
	c.Assert(err, qt.IsNil)
	c.Assert(e.Start(), qt.IsNil)
	for e.watcher.Table() == nil || len(e.watcher.Instances()) < engines {
		time.Sleep(time.Millisecond)
	}
	return e
}

// Guards against ORDER of issue 34 after all entries were killed beside two software
// versions: callers took their streams up again, and these went on at another version.
func TestEntriesKilledBesideTwoVersions(t *testing.T) {
	const engines, streams = 6, 24
	c := qt.New(t)
	rows := fake.NewRowStore()
	store := httptest.NewServer(rows)
	defer store.Close()
	rows.Put(platform.OperatorTable, platform.ConfigurationKey, phoneConfig(c))
	s := fleetSettings(c, strings.TrimPrefix(store.URL, "http://"))
	for k := range engines {
		defer startSidecar(c, rows, s, fmt.Sprintf("127.0.1.%d", k+1), fmt.Sprint("v", 1+k%2)).Stop()
	}
	var fleet []*FleetEntry
	for k := range 2 {
		s.Name, s.IP = fmt.Sprint("front-", k), fmt.Sprintf("127.0.0.%d", k+1)
		fleet = append(fleet, startVersioned(c, s, engines))
	}
	began, versions := map[string]string{}, map[string]int{}
	for n := range streams {
		id := fmt.Sprint("s", n)
		status, version := openStream(c, fleet[n%2], platform.CallerHeader{ID: id})
		c.Assert(status, qt.Equals, http.StatusOK)
		began[id] = version
		versions[version]++
	}
	c.Assert(versions, qt.HasLen, 2)
	for _, e := range fleet {
		e.kill()
	}
	s.Name, s.IP = "front-3", "127.0.0.3"
	e := startVersioned(c, s, engines)
	defer e.Stop()
	goOn := 0
	for id, version := range began {
		status, now := openStream(c, e, platform.CallerHeader{ID: "again-" + id, LastEvent: "1", Resumes: id})
		if status == http.StatusOK {
			c.Assert(now, qt.Equals, version)
			goOn++
		}
	}
	// The pages ask for half of the streams; the records of these were held by processes
	// that went on.
	c.Assert(goOn, qt.Equals, streams)
}

// Guards against records of streams that were lost in a release: sidecars that stopped
// together passed them to each other, while no entry told them which engines were leaving.
func TestStoppingSidecarsPassRecordsOn(t *testing.T) {
	const old, streams = 5, 40
	c := qt.New(t)
	rows := fake.NewRowStore()
	store := httptest.NewServer(rows)
	defer store.Close()
	rows.Put(platform.OperatorTable, platform.ConfigurationKey, phoneConfig(c))
	s := fleetSettings(c, strings.TrimPrefix(store.URL, "http://"))
	var leaving []versionedSidecar
	for k := range old {
		leaving = append(leaving, startSidecar(c, rows, s, fmt.Sprintf("127.0.2.%d", k+1), "v1"))
	}
	s.Name, s.IP = "front-1", "127.0.0.4"
	e := startVersioned(c, s, old)
	for _, d := range leaving {
		for len(d.watcher.Instances()) < old || d.mustPoll() {
			time.Sleep(time.Millisecond)
		}
	}
	for n := range streams {
		status, _ := openStream(c, e, platform.CallerHeader{ID: fmt.Sprint("s", n)})
		c.Assert(status, qt.Equals, http.StatusOK)
	}
	e.kill()
	var staying []versionedSidecar
	for k := range 3 {
		staying = append(staying, startSidecar(c, rows, s, fmt.Sprintf("127.0.3.%d", k+1), "v2"))
	}
	for _, d := range leaving {
		d.engine.Leaving = true
		listTarget(c, rows, d.engine)
	}
	var stops sync.WaitGroup
	for _, d := range leaving {
		stops.Go(d.Stop)
	}
	stops.Wait()
	known := map[registrar.Key]bool{}
	for _, d := range staying {
		for _, o := range d.registry.Records() {
			known[o.Key] = true
		}
		d.Stop()
	}
	c.Assert(len(known), qt.Equals, streams)
}
