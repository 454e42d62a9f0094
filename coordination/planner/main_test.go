package planner_test

import (
	"testing"

	"radishspoke/internal/checker"
)

func TestMain(m *testing.M) { checker.Main(m) }
