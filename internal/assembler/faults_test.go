package assembler

import "radishspoke/internal/fake"

var outage = fake.Faults{Outage: true}
