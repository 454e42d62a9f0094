package callerwatcher_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"

	"radishspoke/state/recorder"
	"radishspoke/transport/callerwatcher"
)

// A handler checks whether its caller is there before it calls anybody else for the request.
func ExampleCheck() {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if err := callerwatcher.Check(q.Context()); err != nil {
			panic(http.ErrAbortHandler) // nobody reads an answer
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	callerwatcher.New(recorder.New()).Watch(server.Config)
	server.Start()
	defer server.Close()
	r, err := http.Get(server.URL)
	if err != nil {
		fmt.Println(err)
		return
	}
	_ = r.Body.Close()
	fmt.Println(r.Status)
	// Output: 204 No Content
}
