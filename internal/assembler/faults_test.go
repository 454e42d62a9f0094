package assembler

import "radishspoke/internal/fake"

// outage makes every call to the platform fail.
var outage = fake.Faults{Outage: true}
