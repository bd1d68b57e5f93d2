package headroom

import (
	"math"
	"os"
	"runtime/metrics"
	"syscall"
)

// OfProcess returns the use of this process. What can't be read is left 0.
func OfProcess(memoryLimit int64) Use {
	samples := []metrics.Sample{{Name: "/gc/heap/live:bytes"}, {Name: "/memory/classes/heap/stacks:bytes"}}
	metrics.Read(samples)
	use := Use{MemoryLimit: memoryLimit}
	for _, sa := range samples {
		if sa.Value.Kind() == metrics.KindUint64 {
			use.Memory += int64(min(sa.Value.Uint64(), math.MaxInt32<<10))
		}
	}
	var li syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &li); err == nil {
		use.FilesLimit = int(min(li.Cur, math.MaxInt32))
	}
	use.Files = openFiles()

	return use
}

// openFiles returns the number of open file descriptors, 0 if it is not known.
func openFiles() int {
	d, err := os.Open("/proc/self/fd")
	if err != nil {
		return 0
	}
	defer d.Close()

	names, err := d.Readdirnames(-1)
	if err != nil {
		return 0
	}

	return len(names) - 1 // without that of the folder itself
}
