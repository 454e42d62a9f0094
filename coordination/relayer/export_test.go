package relayer

// Encode and Decode export the encoding of orders to tests.
var (
	Encode = (*Order).encode
	Decode = decodeOrder
)
