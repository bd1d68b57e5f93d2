package scheduler_test

import (
	"testing"

	"github.com/tamarackbay/tamarackbay/internal/suite"
)

func TestSuite(t *testing.T) {
	suite.Run(t, "scheduler")
}
