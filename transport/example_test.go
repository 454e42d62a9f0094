package transport_test

import (
	"fmt"
	"strings"
	"time"

	"radishspoke/transport"
)

func ExampleReadAll() {
	o := transport.ReadOptions{Most: 8, Idle: time.Second}
	body, err := transport.ReadAll(strings.NewReader("answer"), o, func() {})
	fmt.Println(string(body), err)
	_, err = transport.ReadAll(strings.NewReader("a long answer"), o, func() {})
	fmt.Println(err)
	// Output:
	// answer <nil>
	// read body of over 8 bytes: body is too long
}
