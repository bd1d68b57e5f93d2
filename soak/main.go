// Command soak runs the real programs as processes on one machine, harms them and
// their links from outside, and checks what callers and backend servers were promised.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
)

const usage = `Harm the real programs at random and check every promise.

Each seed starts controllers, stores and gateways as processes with a stand-in of
the platform, draws faults (signals, emptied disks, torn writes, links that are
delayed, reset, cut or silent, backend servers that fail), and fails when a promise
is broken or the deployment does not recover. The folder of a failed seed is kept.

Example:
  go build -o /tmp/tamarackbay ./cmd/tamarackbay
  go run ./soak --binary /tmp/tamarackbay --seed 100 --seeds 50`

func main() {
	app := kingpin.New("soak", usage)
	var cfg Config
	app.Flag("binary", "The tamarackbay program.").Required().ExistingFileVar(&cfg.Binary)
	app.Flag("seed", "First seed.").Default("1").Uint64Var(&cfg.Seed)
	seeds := app.Flag("seeds", "Number of seeds, one after another.").Default("1").Uint64()
	folder := app.Flag("folder", "Where data and logs are written.").Default(os.TempDir()).ExistingDir()
	app.Flag("length", "Time in which faults begin.").Default("20s").DurationVar(&cfg.Length)
	app.Flag("subnet", "Second number of the loopback IP numbers, for runs beside each other.").Default("30").IntVar(&cfg.Subnet)
	app.Flag("controllers", "Number of controllers.").Default("3").IntVar(&cfg.Controllers)
	app.Flag("stores", "Number of stores.").Default("4").IntVar(&cfg.Stores)
	app.Flag("gateways", "Number of gateways.").Default("3").IntVar(&cfg.Gateways)
	app.Flag("plain", "Number of backend servers of the plain service.").Default("3").IntVar(&cfg.Plain)
	app.Flag("engines", "Number of engines.").Default("4").IntVar(&cfg.Engines)
	verbose := app.Flag("verbose", "Tell of each fault.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	failed := 0
	for range *seeds {
		ok, err := runSeed(ctx, cfg, *folder, *verbose)
		if err != nil {
			fmt.Fprintf(os.Stderr, "soak: seed %d: %v\n", cfg.Seed, err)
		}
		if !ok {
			failed++
		}
		cfg.Seed++
		if ctx.Err() != nil {
			break
		}
	}
	stop()
	if failed > 0 {
		fmt.Printf("%d seeds failed\n", failed)
		os.Exit(1)
	}
}

// runSeed runs one seed in a folder of its own and removes it when all went well.
func runSeed(ctx context.Context, cfg Config, folder string, verbose bool) (bool, error) {
	cfg.Folder = filepath.Join(folder, fmt.Sprintf("soak-%d-%d", os.Getpid(), cfg.Seed))
	if verbose {
		cfg.Tell = func(format string, args ...any) { fmt.Printf("  "+format+"\n", args...) }
	}
	re, err := Run(ctx, cfg)
	if err != nil {
		return false, fmt.Errorf("%w (folder %s)", err, cfg.Folder)
	}
	fmt.Printf("seed %d: %v\n", cfg.Seed, re)
	for _, s := range re.Broken {
		fmt.Println("  BROKEN", s)
	}
	if len(re.Broken) > 0 {
		fmt.Println("  kept in", cfg.Folder)

		return false, nil
	}

	return true, os.RemoveAll(cfg.Folder)
}
