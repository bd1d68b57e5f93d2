package coldstart_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/coldstart"
	"github.com/tamarackbay/tamarackbay/internal/registry"
	"github.com/tamarackbay/tamarackbay/internal/routing"
)

// BenchmarkServers measures what each view costs a process, right after the evacuation of one of
// three failure domains was withdrawn.
func BenchmarkServers(b *testing.B) {
	for _, n := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			records := make([]registry.Record, n)
			for i := range records {
				records[i] = registry.Record{ID: fmt.Sprintf("s%d", i), BornMs: 1, Service: "s", FailureDomain: string(rune('a' + i%3))}
			}
			cfg := &routing.Config{Services: []routing.Service{{Name: "s", ColdStart: time.Minute, ColdPerSecond: 4}}}
			withdrawals := map[string]coldstart.Withdrawal{"a": {Position: 1}}
			for b.Loop() {
				coldstart.Servers(time.Hour, cfg, withdrawals, func(yield func(re *registry.Record) bool) {
					for i := range records {
						if !yield(&records[i]) {
							return
						}
					}
				})
			}
		})
	}
}
