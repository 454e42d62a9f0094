package budgeter

import (
	"container/list"
	"log/slog"
	"net/http"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
)

// ErrFull is returned if the budget has no room.
var ErrFull = errors.New("no memory is left for the request")

// Settings holds the parameters of a Budget.
type Settings struct {
	Memory      int64 // bytes that the process may use; the default is 536 MB
	Descriptors int   // files and sockets that the process may use; the default is the limit of the process

	// Refusal is sent with the status 503 to a client whose head is refused.
	Refusal http.Header

	// Return makes the budget return unused memory to the host after a crowd has left.
	Return bool
}

const (
	defaultMemory = 536_000_000 // bytes

	// budgetShare is the part of the memory that clients may hold. The heap grows to twice
	// what is in use until the garbage collector has run.
	budgetShare = 0.3

	// reserveShare is the part of the budget that only ports with a reserve may use beyond it,
	// so that readiness and metrics are served while requests hold all of the rest.
	reserveShare = 0.05

	// ownerShare is the part of the budget that one key or address may hold.
	ownerShare = 0.75

	fileDescriptors = 200 // left for files

	// runningShare is the part of the descriptors that bounds the requests which run, as
	// each may need a connection to a target.
	runningShare = 0.34

	// releaseTime bounds the time for which a request waits for memory that is being
	// released by others.
	releaseTime = 250 * time.Millisecond

	// Memory is returned to the host returnDelay after the use of the budget has fallen to
	// a returnFactor of its peak, if the peak was above returnShare of the budget. That
	// runs the garbage collector, at most once in each returnDelay.
	returnShare  = 0.1
	returnFactor = 0.25
	returnDelay  = 3 * time.Second
)

// Budget counts what the clients of a process hold. Create one with New. It is safe for
// concurrent use.
type Budget struct {
	settings   Settings
	memory     int64 // bytes that clients may hold
	ownerMost  int64 // bytes that one key or address may hold
	sockets    int   // descriptors without those for files
	maxRunning int
	reporter   *reporter
	gauges     Gauges // nil if there are no metrics

	mu        sync.Mutex
	used      int64
	pending   int64         // part of used that is being released by evicted connections
	promised  int64         // bytes that connections wait for
	freed     chan struct{} // closed and replaced when memory is released; nil if nobody waits
	running   int
	peak      int64                  // of used since memory was returned last
	returning bool                   // memory will be returned
	lists     [numOfLists]*list.List // connections that wait
	bodies    map[*Conn]struct{}
	owners    map[string]*owner
}

// owner is a key or an address that holds memory.
type owner struct {
	name              string
	held              int64 // bytes
	pending, promised int64 // as in Budget
	conns             int
}

// New returns a Budget without charges.
func New(s Settings, log *slog.Logger) *Budget {
	if s.Memory == 0 {
		s.Memory = defaultMemory
	}
	if s.Descriptors == 0 {
		s.Descriptors = descriptorLimit()
	}
	b := &Budget{
		settings: s, memory: int64(budgetShare * float64(s.Memory)), sockets: max(1, s.Descriptors-fileDescriptors), reporter: newReporter(log),
		bodies: map[*Conn]struct{}{}, owners: map[string]*owner{},
	}
	for n := range b.lists {
		b.lists[n] = list.New()
	}
	b.ownerMost = int64(ownerShare * float64(b.memory))
	b.maxRunning = max(1, int(runningShare*float64(b.sockets)))
	return b
}

// defaultDescriptors applies if the limit of the process is unknown or higher.
const defaultDescriptors = 10250

func descriptorLimit() int {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return defaultDescriptors
	}
	return int(min(l.Cur, defaultDescriptors))
}

// Limits returns the limits with the defaults for those that are not stated.
func Limits(l radishspoke.CallerLimits) radishspoke.CallerLimits {
	if l.HeaderBytes == 0 {
		l.HeaderBytes = 16 << 10
	}
	if l.BodyBytes == 0 {
		l.BodyBytes = 4 << 20
	}
	if l.HeaderTime == 0 {
		l.HeaderTime = 3 * time.Second
	}
	if l.IdleTime == 0 {
		l.IdleTime = 15 * time.Second
	}
	return l
}

// add charges n bytes to a connection. The budget must be locked.
func (b *Budget) add(c *Conn, n int64) {
	b.used += n
	c.held += n
	c.owner.held += n
	b.peak = max(b.peak, b.used)
	if c.list >= headList && c.list != listOfHead(c.held) {
		b.setWaiting(c, listOfHead(c.held))
	}
}

// limit returns the bytes that all clients may hold when c gets more.
func (b *Budget) limit(c *Conn) int64 {
	if c.port.reserved {
		return b.memory + int64(reserveShare*float64(b.memory))
	}
	return b.memory
}

// fits reports whether n more bytes of a connection are within the budget. The budget must be
// locked.
func (b *Budget) fits(c *Conn, n int64) bool {
	return c.owner.held+c.owner.promised+n <= b.ownerMost && b.used+b.promised+n <= b.limit(c)
}

// charge charges n bytes to a connection. If there is no room, it takes memory from others and
// waits until they have released it. It returns ErrFull if that does not suffice, or if memory
// is being taken from the connection itself.
func (b *Budget) charge(c *Conn, n int64) error {
	var timer *time.Timer
	for {
		b.mu.Lock()
		if c.evicted || c.closed {
			b.mu.Unlock()
			return ErrFull
		}
		if b.fits(c, n) {
			b.add(c, n)
			b.mu.Unlock()
			return nil
		}
		victims, ok := b.takeBack(c, n)
		if !ok {
			b.mu.Unlock()
			return ErrFull
		}
		if b.freed == nil {
			b.freed = make(chan struct{})
		}
		freed, wake, o := b.freed, make(chan struct{}), c.owner
		c.wake = wake
		b.promised += n
		o.promised += n
		b.mu.Unlock()
		b.end(victims)
		if timer == nil {
			timer = time.NewTimer(releaseTime)
			defer timer.Stop()
		}
		var late bool
		select {
		case <-freed:
		case <-wake:
		case <-timer.C:
			late = true
		}
		b.mu.Lock()
		b.promised -= n
		o.promised -= n
		c.wake = nil
		b.mu.Unlock()
		if late {
			return ErrFull
		}
	}
}

// tryCharge charges n bytes if there is room.
func (b *Budget) tryCharge(c *Conn, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	ok := !c.closed && b.fits(c, n)
	if ok {
		b.add(c, n)
	}
	return ok
}

// credit releases n bytes of a connection. The budget must be locked.
func (b *Budget) credit(c *Conn, n int64) {
	b.used -= n
	c.held -= n
	c.owner.held -= n
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
	if b.settings.Return && !b.returning && float64(b.peak) > returnShare*float64(b.memory) && float64(b.used) < returnFactor*float64(b.peak) {
		b.returning = true
		time.AfterFunc(returnDelay, b.returnMemory)
	}
}

// returnMemory returns the memory that is not in use to the host.
func (b *Budget) returnMemory() {
	debug.FreeOSMemory()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.returning = false
	b.peak = b.used
}

// setOwner makes a connection's memory count for the owner of the given name. The budget must
// be locked.
func (b *Budget) setOwner(c *Conn, name string) {
	if c.closed {
		return
	}
	if old := c.owner; old != nil {
		if old.name == name {
			return
		}
		old.held -= c.held
		old.pending -= c.pending
		if old.conns--; old.conns == 0 {
			delete(b.owners, old.name)
		}
	}
	o := b.owners[name]
	if o == nil {
		o = &owner{name: name}
		b.owners[name] = o
	}
	o.conns++
	o.held += c.held
	o.pending += c.pending
	c.owner = o
}
