package consensus_test

import (
	"testing"

	"github.com/tamarackbay/tamarackbay/internal/suite"
)

func TestConsensus(t *testing.T) {
	suite.Run(t, "consensus")
}
