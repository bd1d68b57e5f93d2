package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/tamarackbay/tamarackbay/internal/ctl"
	"github.com/tamarackbay/tamarackbay/internal/declaration"
)

const ctlUsage = `Read and change the versioned configuration and the group.

The gateways are given with --gateway or TAMARACKBAY_GATEWAYS. The operator's token
is read from TAMARACKBAY_TOKEN.

Examples:
  tamarackbay ctl validate --folder declarations
  tamarackbay ctl diff --folder declarations
  tamarackbay ctl apply --folder declarations
  tamarackbay ctl key issue namib --note "crew tablets"
  tamarackbay ctl key withdraw 0123456789abcdef
  tamarackbay ctl status`

// ctlTimeout bounds one subcommand, including retries at other gateways.
const ctlTimeout = time.Minute

// ctlCommands collects the subcommands of ctl and the flags that they share.
type ctlCommands struct {
	clause   *kingpin.CmdClause
	gateways *[]string
	commands []command
}

func addCtl(app *kingpin.Application) []command {
	c := app.Command("ctl", ctlUsage)
	cc := &ctlCommands{clause: c}
	cc.gateways = c.Flag("gateway", "Base URL of the operators' interface; may be repeated.").
		Envar("TAMARACKBAY_GATEWAYS").Default("http://127.0.0.1:8081").Strings()
	cc.addFolder()
	cc.addKeys()
	cc.addMembers()
	cc.addQuarantine()
	cc.addQueries()
	cc.addHash()

	return cc.commands
}

// add registers a subcommand that calls the gateways.
func (cc *ctlCommands) add(c *kingpin.CmdClause, run func(ctx context.Context, ct *ctl.Client) error) {
	cc.commands = append(cc.commands, command{c, func() error {
		ctx, cancel := context.WithTimeout(context.Background(), ctlTimeout)
		defer cancel()

		return run(ctx, ctl.New(ctl.Config{Gateways: *cc.gateways, Token: os.Getenv("TAMARACKBAY_TOKEN"), Out: os.Stdout}))
	}})
}

func (cc *ctlCommands) addFolder() {
	validate := cc.clause.Command("validate", "Check the declarations of a folder.")
	vf := validate.Flag("folder", "Folder of declarations.").Required().ExistingDir()
	cc.add(validate, func(_ context.Context, ct *ctl.Client) error { return ct.Validate(*vf) })

	diff := cc.clause.Command("diff", "Show what apply would change; the exit code is 4 if there are changes.")
	df := diff.Flag("folder", "Folder of declarations.").Required().ExistingDir()
	cc.add(diff, func(ctx context.Context, ct *ctl.Client) error { return ct.Diff(ctx, *df) })

	apply := cc.clause.Command("apply", "Make the configuration equal to a folder; applying it again changes nothing.")
	af := apply.Flag("folder", "Folder of declarations.").Required().ExistingDir()
	base := apply.Flag("base", "Configuration version that the folder was made against; apply is refused at any other.").Uint64()
	cc.add(apply, func(ctx context.Context, ct *ctl.Client) error { return ct.Apply(ctx, *af, *base) })
}

func (cc *ctlCommands) addKeys() {
	key := cc.clause.Command("key", "Issue and withdraw keys.")
	issue := key.Command("issue", "Issue a key; its token is shown only once.")
	workspace := issue.Arg("workspace", "Workspace that the key acts for.").Required().String()
	note := issue.Flag("note", "Note that is shown with the key.").String()
	ttl := issue.Flag("ttl", "How long the key is valid; unlimited by default.").Duration()
	cc.add(issue, func(ctx context.Context, ct *ctl.Client) error {
		in := map[string]any{"workspace": *workspace, "note": *note}
		if *ttl > 0 {
			in["expiresMs"] = time.Now().Add(*ttl).UnixMilli()
		}

		return ct.CallAndPrint(ctx, http.MethodPost, "/v1/keys", in)
	})

	withdraw := key.Command("withdraw", "Withdraw a key; running requests that use it are terminated.")
	id := withdraw.Arg("id", "ID of the key.").Required().String()
	cc.add(withdraw, func(ctx context.Context, ct *ctl.Client) error {
		return ct.CallAndPrint(ctx, http.MethodPost, "/v1/keys/"+url.PathEscape(*id)+"/withdraw", nil)
	})
}

func (cc *ctlCommands) addMembers() {
	member := cc.clause.Command("member", "Show and change the replicas of the group.")
	cc.add(member.Command("list", "List the replicas."), func(ctx context.Context, ct *ctl.Client) error {
		return ct.CallAndPrint(ctx, http.MethodGet, "/v1/members", nil)
	})
	for action, help := range map[string]string{"promote": "Make a learner a voter.", "remove": "Remove a replica."} {
		c := member.Command(action, help)
		id := c.Arg("replica", "ID of the replica.").Required().String()
		cc.add(c, func(ctx context.Context, ct *ctl.Client) error {
			return ct.CallAndPrint(ctx, http.MethodPost, "/v1/members/"+url.PathEscape(*id)+"/"+action, nil)
		})
	}
}

func (cc *ctlCommands) addQuarantine() {
	q := cc.clause.Command("quarantine", "Show and release requests that crashed backend servers.")
	cc.add(q.Command("list", "List the fingerprints of quarantined requests."), func(ctx context.Context, ct *ctl.Client) error {
		return ct.CallAndPrint(ctx, http.MethodGet, "/v1/quarantine", nil)
	})
	release := q.Command("release", "Release a fingerprint, so that its requests may run again.")
	fp := release.Arg("fingerprint", "Fingerprint to release.").Required().String()
	cc.add(release, func(ctx context.Context, ct *ctl.Client) error {
		return ct.CallAndPrint(ctx, http.MethodPost, "/v1/quarantine/"+url.PathEscape(*fp)+"/release", nil)
	})
}

func (cc *ctlCommands) addQueries() {
	get := cc.clause.Command("get", "Show the configuration or one object.")
	path := get.Arg("path", "Path of one object, such as routes/preview.").String()
	cc.add(get, func(ctx context.Context, ct *ctl.Client) error {
		p := "/v1/configuration"
		if *path != "" {
			p += "?path=" + url.QueryEscape(*path)
		}

		return ct.CallAndPrint(ctx, http.MethodGet, p, nil)
	})

	history := cc.clause.Command("history", "Show the changes of the configuration with their authors, newest first.")
	n := history.Flag("n", "Number of changes to show.").Default("20").Int()
	cc.add(history, func(ctx context.Context, ct *ctl.Client) error {
		return ct.CallAndPrint(ctx, http.MethodGet, "/v1/history?n="+strconv.Itoa(*n), nil)
	})

	cc.add(cc.clause.Command("status", "Show the state of a gateway, its replica, leases and backend servers."),
		func(ctx context.Context, ct *ctl.Client) error {
			return ct.CallAndPrint(ctx, http.MethodGet, "/v1/status", nil)
		})
	cc.add(cc.clause.Command("explain", "Show why the fleet has its size."),
		func(ctx context.Context, ct *ctl.Client) error {
			return ct.CallAndPrint(ctx, http.MethodGet, "/v1/explain", nil)
		})
}

func (cc *ctlCommands) addHash() {
	hash := cc.clause.Command("hash", "Print the hash of the token in TAMARACKBAY_TOKEN, for the settings of gateways.")
	cc.commands = append(cc.commands, command{hash, func() error {
		fmt.Println(declaration.HashSecret(os.Getenv("TAMARACKBAY_TOKEN")))

		return nil
	}})
}
