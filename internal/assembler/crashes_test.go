package assembler

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against second1 in the own deployment: a request on which engines end went to one
// engine after the other.
func TestRequestThatCrashesEngines(t *testing.T) {
	const engines = 8
	inventory := testInventory
	for k := 3; k <= engines; k++ {
		inventory += fmt.Sprintf("[target e%d]\nhost = h1\nkind = engine\naddress = 127.0.0.1:%d\nsidecar = 127.0.0.1:%d\nmodel = m\nfencing = yes\n", k, 1110+k, 1210+k)
	}
	inBubble(t, func(s *DevSettings) { s.Inventory = []byte(inventory) }, func(b *testbed) {
		const prompt, maxTokens = "Is the hall free on Friday?", 400
		done := make(chan int)
		stop := make(chan struct{})
		go func() { // ends each engine shortly after it begins the request
			crashed := map[string]bool{}
			defer func() { done <- len(crashed) }()
			for {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				for name, e := range b.Engines {
					if e.Load().Running > 0 && !crashed[name] {
						crashed[name] = true
						e.Crash()
					}
				}
			}
		}()
		r := b.read(b.request(0, http.MethodPost, "/v1/chat/completions", "big", chatBody(prompt, maxTokens), nil), nil)
		close(stop)
		crashed := <-done
		b.Assert(r.done, qt.IsFalse)
		b.Assert(crashed <= 3, qt.IsTrue, qt.Commentf("%d of %d engines ended", crashed, engines))
		b.Assert(strings.Contains(r.failure, "3 targets have failed"), qt.IsTrue, qt.Commentf("%+v", r))
	})
}
