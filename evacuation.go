package radishspoke

// Evacuations lists the availability zones that operators have ordered to evacuate, as known
// at a position of the platform's store.
type Evacuations struct {
	At    StorePosition
	Zones []string
}
