package relayer

// What tests of an order's bytes need.
var (
	Encode = (*Order).encode
	Decode = decodeOrder
)
