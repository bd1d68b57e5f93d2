package main

import (
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/tamarackbay/tamarackbay/internal/fake"
)

const fakeUsage = `Serve a small stand-in for an external system, to try tamarackbay by hand.

Examples:
  tamarackbay fake engine --listen 127.0.0.1:9001 --model nozzle
  tamarackbay fake service --listen 127.0.0.1:9002`

func addFake(app *kingpin.Application) []command {
	c := app.Command("fake", fakeUsage)

	return []command{
		addFakeEngine(c),
		addFakeService(c),
		addFakeSimple(c, "store", "A weight store that serves up to three fetches at once.", func(a string) error {
			_, err := fake.NewWeightStore(a, 3)

			return err
		}),
		addFakeSimple(c, "scorer", "A service that scores samples.", func(a string) error {
			_, err := fake.NewScorer(a)

			return err
		}),
		addFakeSimple(c, "usage", "An interface that accepts usage reports.", func(a string) error {
			_, err := fake.NewUsageSink(a)

			return err
		}),
		addFakeSimple(c, "ordering", "An interface that accepts orders and prints them, but starts no servers.", func(a string) error {
			_, err := fake.NewOrdering(a, func(server, class, domain, order string) {
				fmt.Printf("start %s class %s failure domain %s order %s\n", server, class, domain, order)
			}, func(server string) { fmt.Printf("stop %s\n", server) })

			return err
		}),
	}
}

func addFakeSimple(parent *kingpin.CmdClause, name, help string, start func(address string) error) command {
	c := parent.Command(name, help)
	listen := c.Flag("listen", "IP number and port to listen on.").Required().String()

	return command{c, func() error {
		if err := start(*listen); err != nil {
			return err
		}
		<-stopSignals()

		return nil
	}}
}

func addFakeEngine(parent *kingpin.CmdClause) command {
	c := parent.Command("engine", "A model engine that streams tokens, each with the weight version that produced it.")
	listen := c.Flag("listen", "IP number and port to listen on.").Required().String()
	model := c.Flag("model", "Model to serve.").Required().String()
	weights := c.Flag("weights", "Weight version to serve at the start; none by default.").String()
	slots := c.Flag("slots", "Number of requests that run at once.").Default("8").Int()
	token := c.Flag("token-time", "Time to generate one token.").Default("10ms").Duration()

	return command{c, func() error {
		_, err := fake.NewEngine(*listen, fake.EngineConfig{
			Model: *model, Version: *weights, Slots: *slots, TokenTime: *token, PrefillTime: 5 * *token,
			SwapTime: time.Second, CacheSize: 64, RestartDelay: 2 * time.Second,
		})
		if err != nil {
			return err
		}
		<-stopSignals()

		return nil
	}}
}

func addFakeService(parent *kingpin.CmdClause) command {
	c := parent.Command("service", "A plain service that echoes its requests.")
	listen := c.Flag("listen", "IP number and port to listen on.").Required().String()
	delay := c.Flag("delay", "Delay before each response.").Default("5ms").Duration()

	return command{c, func() error {
		if _, err := fake.NewService(*listen, *delay); err != nil {
			return err
		}
		<-stopSignals()

		return nil
	}}
}
