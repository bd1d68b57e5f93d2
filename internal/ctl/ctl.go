// Package ctl implements the operators' commands. It compares a folder of declarations,
// which operators keep under version control, with the gateways' versioned configuration
// and applies the difference.
package ctl

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/declaration"
	"github.com/tamarackbay/tamarackbay/internal/httpcall"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

// ErrDiffers is returned by Diff if the folder and the configuration are not equal.
var ErrDiffers = errors.New("ctl: the folder differs from the configuration")

// Refusal is an error response of a gateway with a numbered code.
type Refusal struct {
	Code      result.Code `json:"code"`
	Name      string      `json:"name"`
	Message   string      `json:"message"`
	Execution string      `json:"execution"`
}

// Error returns the name, the code and the message.
func (re *Refusal) Error() string { return fmt.Sprintf("%s (%d): %s", re.Name, re.Code, re.Message) }

// Config describes the gateways to call and where output is written.
type Config struct {
	Gateways []string // base URLs of the operators' interface
	Token    string
	HTTP     *http.Client
	Out      io.Writer
}

// Client runs the operators' commands.
type Client struct {
	cfg Config
}

// New returns a Client. Without an HTTP client in cfg it uses one with a timeout of 30 s.
func New(cfg Config) *Client {
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{Timeout: 30 * time.Second, Transport: httpcall.NewTransport(&http.Transport{Proxy: http.ProxyFromEnvironment, ForceAttemptHTTP2: true})}
	}

	return &Client{cfg: cfg}
}

// call tries the gateways in order until one responds without a server error. Retrying is
// safe because every call is idempotent.
func (ct *Client) call(ctx context.Context, method, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}

	last := errors.New("ctl: no gateway address is configured")
	for _, g := range ct.cfg.Gateways {
		err := ct.callOne(ctx, method, g+path, body, out)
		var re *Refusal
		if err == nil || (errors.As(err, &re) && result.Lookup(re.Code).Status < http.StatusInternalServerError) {
			return err
		}
		last = err
	}

	return last
}

func (ct *Client) callOne(ctx context.Context, method, url string, body []byte, out any) error {
	rq, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	rq.Header.Set("Authorization", "Bearer "+ct.cfg.Token)
	rs, err := ct.cfg.HTTP.Do(rq)
	if err != nil {
		return fmt.Errorf("ctl: call to a gateway: %w", err)
	}
	defer rs.Body.Close()

	b, err := io.ReadAll(rs.Body)
	if err != nil {
		return fmt.Errorf("ctl: read the response of a gateway: %w", err)
	}
	if rs.StatusCode >= http.StatusBadRequest {
		var eb struct{ Error *Refusal }
		if json.Unmarshal(b, &eb) == nil && eb.Error != nil {
			return eb.Error
		}

		return fmt.Errorf("ctl: a gateway responded with status %d: %s", rs.StatusCode, b)
	}
	if out == nil {
		return nil
	}

	return json.Unmarshal(b, out)
}

type configuration struct {
	Version uint64           `json:"version"`
	Set     *declaration.Set `json:"declarations"`
}

func (ct *Client) configuration(ctx context.Context) (configuration, error) {
	cf := configuration{Set: declaration.NewSet()}
	err := ct.call(ctx, http.MethodGet, "/v1/configuration", nil, &cf)

	return cf, err
}

// Validate checks the declarations of a folder.
func (ct *Client) Validate(folder string) error {
	set, err := declaration.ReadFolder(os.DirFS(folder), ".")
	if err != nil {
		return err
	}
	ops, err := set.Ops()
	if err != nil {
		return err
	}
	fmt.Fprintf(ct.cfg.Out, "valid: %d objects\n", len(ops))

	return nil
}

// diff returns the operations that make the configuration equal to the folder, and the
// version of the configuration that they start from.
func (ct *Client) diff(ctx context.Context, folder string) ([]declaration.Op, uint64, error) {
	set, err := declaration.ReadFolder(os.DirFS(folder), ".")
	if err != nil {
		return nil, 0, err
	}
	cf, err := ct.configuration(ctx)
	if err != nil {
		return nil, 0, err
	}
	retainPushedVersions(cf.Set, set)
	ops, err := declaration.Diff(cf.Set, set, false)

	return ops, cf.Version, err
}

// retainPushedVersions adds the versions that trainers pushed to the set of the folder, as long as
// it declares their model. Pushed versions are not declared in files, and the diff would
// remove them otherwise.
func retainPushedVersions(from, to *declaration.Set) {
	for n, v := range from.Versions {
		if _, ok := to.Versions[n]; ok {
			continue
		}
		if _, ok := to.Models[v.Model]; ok {
			to.Versions[n] = v
		}
	}
}

func (ct *Client) print(ops []declaration.Op) {
	for _, op := range ops {
		if len(op.Value) == 0 {
			fmt.Fprintf(ct.cfg.Out, "- %s\n", op.Path)
		} else {
			fmt.Fprintf(ct.cfg.Out, "+ %s %s\n", op.Path, op.Value)
		}
	}
}

// Diff prints what Apply would change. It returns ErrDiffers if there are changes.
func (ct *Client) Diff(ctx context.Context, folder string) error {
	ops, version, err := ct.diff(ctx, folder)
	if err != nil {
		return err
	}
	ct.print(ops)
	if len(ops) > 0 {
		return ErrDiffers
	}
	fmt.Fprintf(ct.cfg.Out, "equal to version %d\n", version)

	return nil
}

// Apply makes the configuration equal to the folder. Base, if not 0, is the version that
// the folder was made against: the gateways refuse the patch if the current one differs.
func (ct *Client) Apply(ctx context.Context, folder string, base uint64) error {
	ops, version, err := ct.diff(ctx, folder)
	if err != nil {
		return err
	}
	if len(ops) == 0 {
		fmt.Fprintf(ct.cfg.Out, "equal to version %d, nothing to do\n", version)

		return nil
	}
	if base == 0 {
		base = version
	}

	ct.print(ops)
	var an declaration.Answer
	// The ID is derived from the content, so that a retry is recognised as the same patch.
	if err := ct.call(ctx, http.MethodPost, "/v1/patches", declaration.Patch{ID: patchID(base, ops), Base: base, Ops: ops}, &an); err != nil {
		return err
	}
	fmt.Fprintf(ct.cfg.Out, "accepted as version %d\n", an.Version)

	return nil
}

// patchID returns an ID that is derived from the base version and the operations.
func patchID(base uint64, ops []declaration.Op) string {
	h := sha256.New()
	fmt.Fprintln(h, base)
	for _, op := range ops {
		fmt.Fprintf(h, "%s %s\n", op.Path, op.Value)
	}

	return "apply-" + hex.EncodeToString(h.Sum(nil)[:12])
}

// CallAndPrint calls the operators' interface and prints the response as indented JSON.
func (ct *Client) CallAndPrint(ctx context.Context, method, path string, in any) error {
	var out json.RawMessage
	if err := ct.call(ctx, method, path, in, &out); err != nil {
		return err
	}
	var buf bytes.Buffer
	if err := json.Indent(&buf, out, "", "  "); err != nil {
		return err
	}
	fmt.Fprintln(ct.cfg.Out, buf.String())

	return nil
}
