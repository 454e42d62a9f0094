package flooder

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"radishspoke/platform"
)

// Limits of the configuration.
const (
	headBytes = 16 << 10
	bodyBytes = 4 << 20
)

// Client is a kind of misbehaving client. Its connections all send the same bytes and stay
// open.
type Client struct {
	// Head is sent once. Then Piece is sent Pieces times.
	Head   []byte
	Piece  []byte
	Pieces int

	Reads bool // whether the client reads what it is sent
}

// Crowd is a number of connections of one kind of client.
type Crowd struct {
	mu      sync.Mutex
	conns   []net.Conn
	senders sync.WaitGroup
}

// maxSenders bounds the connections that send at the same time, so that the test itself needs
// little memory and leaves processors to others.
const maxSenders = 64

// sendTimeout ends the sending of a client that the server does not read.
const sendTimeout = 3 * time.Second

// Gather opens the given number of connections to an address and returns when each has sent
// all of its bytes or could not send on.
func Gather(address string, number int, c Client) *Crowd {
	crowd := &Crowd{}
	free := make(chan struct{}, maxSenders)
	for range number {
		free <- struct{}{}
		crowd.senders.Go(func() {
			crowd.send(address, c)
			<-free
		})
	}
	crowd.senders.Wait()
	return crowd
}

func (w *Crowd) send(address string, c Client) {
	conn, err := net.DialTimeout("tcp", address, sendTimeout)
	if err != nil {
		return // refused, which a server may do
	}
	w.mu.Lock()
	w.conns = append(w.conns, conn)
	w.mu.Unlock()
	if c.Reads {
		go func() { _, _ = io.Copy(io.Discard, conn) }() // ends when the connection is closed
	}
	_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	if _, err := conn.Write(c.Head); err != nil {
		return // closed by the server
	}
	for range c.Pieces {
		if _, err := conn.Write(c.Piece); err != nil {
			return
		}
	}
}

// Send sends bytes over all connections.
func (w *Crowd) Send(b []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.conns {
		_, _ = c.Write(b) // fails if the server has closed it
	}
}

// Close closes all connections.
func (w *Crowd) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.conns {
		_ = c.Close()
	}
}

// Exchange sends what a client sends, and then the given end, and returns the status of the
// answer.
func Exchange(address string, c Client, end []byte) (int, error) {
	conn, err := net.DialTimeout("tcp", address, sendTimeout)
	if err != nil {
		return 0, errors.Wrap(err, "connect")
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	for n := range c.Pieces + 2 {
		data := c.Piece
		switch n {
		case 0:
			data = c.Head
		case c.Pieces + 1:
			data = end
		}
		if _, err := conn.Write(data); err != nil {
			return 0, errors.Wrap(err, "send request")
		}
	}
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, errors.Wrap(err, "read answer")
	}
	return r.StatusCode, r.Body.Close()
}

// head returns the first lines of a request of an ordinary caller, without the empty line.
func head(method, path string, lines ...string) []byte {
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, hostName) // a Buffer returns no errors
	_ = platform.EncodeRequest(platform.CallerHeader{ID: "crowd", Secret: key}).Write(&b)
	for _, l := range lines {
		b.WriteString(l + "\r\n")
	}
	return b.Bytes()
}

// chunkedHead is a line of the head of a request with a chunked body.
const chunkedHead = "Transfer-Encoding: chunked"

// shortBody returns a client that sends a body of the given size in chunks and stops before
// the end of the body.
func shortBody(path string, size, chunk int) Client {
	piece := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	join := max(1, (64<<10)/len(piece)) // chunks in one write
	return Client{
		Head: append(head("POST", path, chunkedHead), "\r\n"...), Piece: []byte(strings.Repeat(piece, join)), Pieces: size / chunk / join, Reads: true,
	}
}

// shortLines returns a client whose head has the given size and is made of very short lines.
// If distinct is set, each line has another name. The head ends if end is set, and a chunked
// body is announced, of which nothing follows.
func shortLines(method, path string, size int, distinct, end bool) Client {
	b := head(method, path, chunkedHead)
	for n := 0; len(b)+len("abc:\r\n")+len("\r\n") <= size; n++ {
		if distinct {
			b = append(b, letters[n%len(letters)], letters[n/len(letters)%len(letters)], letters[n/len(letters)/len(letters)%len(letters)], ':', '\r', '\n')
		} else {
			b = append(b, "a:\r\n"...)
		}
	}
	if end {
		b = append(b, "\r\n"...)
	}
	return Client{Head: b, Reads: true}
}

// letters are allowed in names of header lines, in one case.
const letters = "abcdefghijklmnopqrstuvwxyz0123456789-_"

// slowReader returns a client that sends a complete request and does not read the answer.
func slowReader(path string, size int) Client {
	return Client{
		Head:  append(head("POST", path, fmt.Sprintf("Content-Length: %d", size)), "\r\n"...),
		Piece: bytes.Repeat([]byte("x"), size), Pieces: 1,
	}
}
