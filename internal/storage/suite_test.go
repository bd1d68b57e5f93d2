package storage_test

import (
	"testing"

	"github.com/tamarackbay/tamarackbay/internal/suite"
)

func TestStorage(t *testing.T) {
	suite.Run(t, "storage")
}
