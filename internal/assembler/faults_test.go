package assembler

import "radishspoke/internal/fake"

// outage makes every call to the platform fail.
var outage = fake.PlatformFaults{Outage: true}
