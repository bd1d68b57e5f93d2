package headroom_test

import (
	"testing"

	"github.com/tamarackbay/tamarackbay/internal/headroom"
)

func BenchmarkOfProcess(b *testing.B) {
	for b.Loop() {
		headroom.OfProcess(1 << 30)
	}
}
