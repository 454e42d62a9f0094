package budgeter

import (
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
)

const (
	firstPiece = 512      // bytes of the buffer for a body of unknown size
	knownPiece = 32 << 10 // bytes of the first buffer for a body of known size

	// A buffer grows by these factors if the size of the body is unknown or known.
	unknownGrowth = 2
	knownGrowth   = 4
)

// BodyOptions holds the parameters of ReadBody.
type BodyOptions struct {
	Size   int64  // stated by the client; -1 if it is unknown
	Most   int64  // maximum size
	Copies int64  // copies of the body that are held at the same time; 1 if 0
	Owner  string // key of the client; its address if empty
}

// ReadBody reads the body of a request in growing pieces, each of which is charged to the
// budget of c before it is allocated. The charge is released at the end of the request. The
// error wraps ErrFull if there is no room. If ReadBody fails, the rest of the body can't be
// read any more. The connection may be nil: then nothing is charged.
func ReadBody(r io.Reader, c *Conn, o BodyOptions) ([]byte, error) {
	o.Copies = max(1, o.Copies)
	c.beginBody(o.Owner)
	g := growth{size: firstPiece, factor: unknownGrowth, most: o.Most + 1}
	if o.Size >= 0 {
		g = growth{size: min(knownPiece, o.Size+1), factor: knownGrowth, most: o.Size + 1}
	}
	data, err := g.read(r, func(old, next int64) error {
		if c == nil {
			return nil
		}
		if old >= receiveBuffer {
			if err := c.widen(); err != nil {
				return err
			}
		}
		return c.budget.charge(c, next*o.Copies)
	}, func(old int64) { c.Credit(old * o.Copies) }, c.advance)
	if err == io.EOF {
		err = nil
	}
	if full := c.endBody(err != nil); err == nil {
		err = full
	}
	if c != nil && errors.Is(err, ErrFull) {
		c.budget.reporter.count(reasonMemory, c.address)
	}
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	return data, nil
}

// ReadAhead reads up to most bytes of an answer, or fewer if the budget of c has no room for
// more. The error is io.EOF if the answer has ended, and nil if it may go on. What is read is
// charged until it is credited: the capacity of the result. The connection may be nil.
func ReadAhead(r io.Reader, c *Conn, most int64) ([]byte, error) {
	full := false
	g := growth{size: firstPiece, factor: unknownGrowth, most: most}
	data, err := g.read(r, func(_, next int64) error {
		if c != nil && !c.budget.tryCharge(c, next) {
			full = true
			return ErrFull
		}
		return nil
	}, c.Credit, func(int) {})
	if full {
		err = nil
	}
	return data, err
}

// growth describes how a buffer grows.
type growth struct{ size, factor, most int64 }

// read reads until the end of r, which it reports by io.EOF, or until the buffer has the
// greatest size. It calls charge with the old and the new size before it allocates a buffer,
// release with the old size after it has copied the old buffer, and advance after each read.
func (g growth) read(r io.Reader, charge func(old, next int64) error, release func(old int64), advance func(n int)) ([]byte, error) {
	var data []byte
	for {
		if len(data) == cap(data) {
			old := int64(cap(data))
			if old >= g.most {
				return data, nil
			}
			next := max(g.size, old*g.factor)
			if next > g.most/2 {
				next = g.most // the last step, which would otherwise copy the whole for a few bytes
			}
			if err := charge(old, next); err != nil {
				return data, err
			}
			data = append(make([]byte, 0, next), data...)
			if old > 0 {
				release(old)
			}
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if n > 0 {
			advance(n)
		}
		if err != nil {
			return data, err
		}
	}
}

// beginBody records that a body is being received.
func (c *Conn) beginBody(owner string) {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if owner != "" {
		c.budget.setOwner(c, owner)
	}
	c.receiving, c.progressAt, c.progress = true, time.Now(), 0
	c.budget.bodies[c] = struct{}{}
}

// advance records that n bytes of the body have arrived.
func (c *Conn) advance(n int) {
	if c == nil {
		return
	}
	if c.progress += n; c.progress < minProgress {
		return
	}
	c.progress = 0
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.progressAt = time.Now()
}

// endBody records that the body has been received, or can't be. It returns an error if the
// memory of the body has been taken back meanwhile.
func (c *Conn) endBody(failed bool) error {
	if c == nil {
		return nil
	}
	if failed {
		c.abandon()
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.receiving = false
	delete(c.budget.bodies, c)
	if c.evicted {
		return ErrFull
	}
	if c.wide {
		c.wide = false
		c.setReceiveBuffer(receiveBuffer)
		c.budget.credit(c, bodyBuffer)
	}
	return nil
}

// widen enlarges the receive buffer for a long body.
func (c *Conn) widen() error {
	if c.wide {
		return nil
	}
	if err := c.budget.charge(c, bodyBuffer); err != nil {
		return err
	}
	c.wide = true
	c.setReceiveBuffer(bodyBuffer)
	return nil
}

// TryCharge charges n bytes to a connection, which may be nil, and returns whether there is room
// for them. Credit releases them.
func (c *Conn) TryCharge(n int64) bool { return c == nil || c.budget.tryCharge(c, n) }

// Credit releases n bytes that were charged to a connection, which may be nil.
func (c *Conn) Credit(n int64) {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.credit(c, min(n, c.held))
}
