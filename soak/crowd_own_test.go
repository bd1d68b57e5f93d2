//go:build crowd

package soak_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/platform/standin"
)

// ownGateway is a gateway of the own interface with an agent and a plain service, as processes.
type ownGateway struct {
	process  *process // for the observer
	commands []*exec.Cmd
	callers  string
	token    string
}

// operatorToken is the token whose hash is in examples/start/gateway.jsonc.
const operatorToken = "try-me"

// startOwnGateway starts the deployment of examples/start with other addresses and limits.
func startOwnGateway(folder, ip string) *ownGateway {
	ports, err := standin.FreePorts()
	Expect(err).NotTo(HaveOccurred())
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	addresses := strings.NewReplacer(
		"127.0.0.1:8080", at(ports.Clients), "127.0.0.1:8081", at(ports.Control), "127.0.0.1:8082", at(ports.Peers), "127.0.0.1:9002", at(ports.Ready),
		"data/gateway-1", filepath.Join(folder, "data"), `"dataFolder":`, fmt.Sprintf(`"memoryMB": %d, "dataFolder":`, crowdGatewayMemory),
		`"repeatable": false,`, fmt.Sprintf(`"repeatable": false, "maxBodyBytes": %d,`, crowdBodyLimit),
	)
	Expect(os.MkdirAll(filepath.Join(folder, "declarations"), 0o700)).To(Succeed())
	for _, name := range []string{"start/gateway", "start/agent-service", "consortium/models", "consortium/fleet", "consortium/workspaces"} {
		b, err := os.ReadFile(filepath.Join("..", "examples", name+".jsonc"))
		Expect(err).NotTo(HaveOccurred())
		file := filepath.Join(folder, filepath.Base(name)+".jsonc")
		if strings.HasPrefix(name, "consortium/") {
			file = filepath.Join(folder, "declarations", filepath.Base(name)+".jsonc")
		}
		Expect(os.WriteFile(file, []byte(addresses.Replace(string(b))), 0o600)).To(Succeed())
	}

	og := &ownGateway{callers: at(ports.Clients)}
	run := func(args ...string) *exec.Cmd {
		out, err := os.Create(filepath.Join(folder, args[0]+".log"))
		Expect(err).NotTo(HaveOccurred())
		cmd := exec.Command(binary, args...)
		cmd.Stdout, cmd.Stderr = out, out
		Expect(cmd.Start()).To(Succeed())
		Expect(out.Close()).To(Succeed())
		og.commands = append(og.commands, cmd)

		return cmd
	}
	run("fake", "service", "--listen", at(ports.Ready))
	gateway := run("gateway", "--settings", filepath.Join(folder, "gateway.jsonc"))
	run("agent", "--settings", filepath.Join(folder, "agent-service.jsonc"))
	og.process = &process{
		ip: ip, cmd: gateway, peerListen: at(ports.Peers),
		settings: standin.NodeSettings{Name: "gateway of the own interface", Limits: standin.Limits{MemoryMB: crowdGatewayMemory, Files: crowdFiles}},
	}
	ctl := func(args ...string) []byte {
		var out []byte
		Eventually(func() error {
			cmd := exec.Command(binary, append([]string{"ctl", "--gateway", "http://" + at(ports.Control)}, args...)...)
			cmd.Env = append(os.Environ(), "TAMARACKBAY_TOKEN="+operatorToken)
			var err error
			out, err = cmd.Output()

			return err
		}, "20s", "200ms").Should(Succeed())

		return out
	}
	ctl("apply", "--folder", filepath.Join(folder, "declarations"))
	var key struct {
		Token string `json:"token"`
	}
	Expect(json.Unmarshal(ctl("key", "issue", "kunene"), &key)).To(Succeed())
	og.token = key.Token

	return og
}

func (og *ownGateway) stop() {
	for _, cmd := range og.commands {
		_ = cmd.Process.Signal(syscall.SIGKILL)
		_ = cmd.Wait() // it was killed
	}
}

// call sends an ordinary request.
func (og *ownGateway) call() error {
	rq, err := http.NewRequest(http.MethodPost, "http://"+og.callers+"/r/pole-status/poles/7", strings.NewReader(`{"pole":7}`))
	if err != nil {
		return err
	}
	rq.Header.Set("Authorization", "Bearer "+og.token)
	rs, err := (&http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}).Do(rq)
	if err != nil {
		return err
	}
	defer rs.Body.Close()
	if _, err := io.Copy(io.Discard, rs.Body); err != nil {
		return err
	}
	if rs.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", rs.StatusCode)
	}

	return nil
}

// Guards against callers of the own interface that make a gateway hold more than its machine has.
var _ = ginkgo.Describe("a crowd at the own interface", ginkgo.Label("crowd"), ginkgo.Ordered, ginkgo.ContinueOnFailure, func() {
	var og *ownGateway
	ginkgo.BeforeEach(func() {
		dir, err := os.MkdirTemp(folder, "own-")
		Expect(err).NotTo(HaveOccurred())
		og = startOwnGateway(dir, host(91, hostGateway, 0))
		Eventually(og.call, "20s", "100ms").Should(Succeed())
	})
	ginkgo.AfterEach(func() { og.stop() })

	answered := func() (err error) {
		for began := time.Now(); time.Since(began) < readyWithin; time.Sleep(20 * time.Millisecond) {
			if err = og.call(); err == nil {
				return nil
			}
		}

		return err
	}
	for _, tc := range []struct {
		name, framing string
		clients       int
		write         func(w io.Writer) error
	}{
		{"bodies of legal size that stop one byte short", fmt.Sprint("Content-Length: ", crowdBodyLimit), crowdClients, func(w io.Writer) error {
			return writePieces(w, crowdBodyLimit-1, 256<<10, 0)
		}},
		{"bodies in large chunks that stop before their end", "Transfer-Encoding: chunked", crowdClients, func(w io.Writer) error {
			return writeChunks(w, crowdBodyLimit-256<<10, 256<<10)
		}},
		{"bodies over the limit, just sent", "Transfer-Encoding: chunked", crowdClients, func(w io.Writer) error {
			return writeChunks(w, 16*crowdBodyLimit, 256<<10)
		}},
	} {
		ginkgo.It("is borne: "+tc.name, func() {
			ob := observe(og.process, portOf(og.callers))
			cr := startCrowd(og.callers, tc.clients, func(w io.Writer, n int) error {
				if _, err := fmt.Fprintf(w, "POST /r/pole-status/poles/%d HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%s\r\n\r\n", n, og.token, tc.framing); err != nil {
					return err
				}

				return tc.write(w)
			})
			time.Sleep(crowdStay / 2)
			during := answered()
			time.Sleep(crowdStay / 2)
			cr.leave()
			after := answered()
			fo := ob.stop()
			fmt.Fprintf(os.Stderr, "own interface, %s: %d MB with unread bytes, peak of the process %d MB, %d descriptors; ordinary requests while the crowd is there: %v, after it: %v\n",
				tc.name, fo.memory>>20, fo.peak>>20, fo.files, during, after)
			Expect(fo.memory).To(BeNumerically("<=", crowdGatewayMemory<<20))
			Expect(fo.peak).To(BeNumerically("<=", crowdGatewayMemory<<20))
			Expect(fo.files).To(BeNumerically("<", crowdFiles))
			Expect(during).NotTo(HaveOccurred(), "an ordinary request while the crowd is there")
			Expect(after).NotTo(HaveOccurred(), "an ordinary request after the crowd")
		})
	}
})

func portOf(address string) int {
	var port int
	_, p, _ := net.SplitHostPort(address)
	_, _ = fmt.Sscan(p, &port) // formatted by startOwnGateway

	return port
}
