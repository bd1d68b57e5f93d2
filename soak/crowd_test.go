//go:build crowd

package soak_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/tamarackbay/tamarackbay/internal/program"
	"github.com/tamarackbay/tamarackbay/platform/standin"
)

// The machines of these tests are smaller than those of any deployment, so that a small crowd
// exceeds them.
const (
	crowdBodyLimit     = 4 << 20 // bytes, max_body_bytes of the configuration
	crowdGatewayMemory = 112     // MiB
	crowdStoreMemory   = 160     // MiB
	crowdFiles         = 200     // file descriptors of a gateway
	crowdClients       = 80
	crowdConnections   = 400 // of clients that send nothing
	crowdJobs          = 40
	// crowdStay is how long a crowd stays. A client that is refused comes back until then.
	crowdStay = 10 * time.Second
)

// crowdPaths are what the clients of a crowd ask for, in turn: each kind of route and call, and a
// path without a route.
var crowdPaths = []string{"/look/1", "/once/1", "/stream/1", "/jobs/1", "/lots/1", "/items/1", "/none/1"}

// crowdKeys are the keys that they send, in turn; "" for none.
var crowdKeys = []string{standin.Key, "unknown", standin.Key, ""}

// badClient is a client that does not behave. It writes its request to a connection until it has
// sent all that it wants to, or the connection breaks.
type badClient struct {
	name  string
	write func(w io.Writer, n int) error
}

// requestHead returns the head of the request of the n-th client, with further header lines.
func requestHead(n int, lines ...string) string {
	lines = append([]string{
		"POST " + crowdPaths[n%len(crowdPaths)] + " HTTP/1.1", "Host: " + standin.Host, fmt.Sprintf("Attempt-Id: crowd-%d-%d", n, rand.Uint64()),
		"X-Api-Key: " + crowdKeys[n/len(crowdPaths)%len(crowdKeys)],
	}, lines...)

	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// writePieces writes n bytes in pieces, with a pause after each.
func writePieces(w io.Writer, n, piece int, pause time.Duration) error {
	b := make([]byte, piece)
	for ; n > 0; n -= piece {
		if _, err := w.Write(b[:min(n, piece)]); err != nil {
			return err
		}
		time.Sleep(pause)
	}

	return nil
}

// writeChunks writes n bytes in chunks, without the chunk that ends a body.
func writeChunks(w io.Writer, n, chunk int) error {
	bw := bufio.NewWriterSize(w, 64<<10)
	one := append([]byte(strconv.FormatInt(int64(chunk), 16)+"\r\n"), append(make([]byte, chunk), "\r\n"...)...)
	for ; n > 0; n -= chunk {
		if _, err := bw.Write(one); err != nil {
			return err
		}
	}

	return bw.Flush()
}

func withHead(head func(n int) string, write func(w io.Writer) error) func(w io.Writer, n int) error {
	return func(w io.Writer, n int) error {
		if _, err := io.WriteString(w, head(n)); err != nil {
			return err
		}

		return write(w)
	}
}

func announced(bytes int) func(n int) string {
	return func(n int) string { return requestHead(n, fmt.Sprint("Content-Length: ", bytes)) }
}

func chunked(n int) string { return requestHead(n, "Transfer-Encoding: chunked") }

var badClients = []badClient{
	{"bodies of legal size that stop one byte short", withHead(announced(crowdBodyLimit), func(w io.Writer) error {
		return writePieces(w, crowdBodyLimit-1, crowdBodyLimit, 0)
	})},
	{"bodies of legal size in pieces that stop one byte short", withHead(announced(crowdBodyLimit), func(w io.Writer) error {
		return writePieces(w, crowdBodyLimit-1, 64<<10, 10*time.Millisecond)
	})},
	{"bodies in large chunks that stop before their end", withHead(chunked, func(w io.Writer) error {
		return writeChunks(w, crowdBodyLimit-256<<10, 256<<10)
	})},
	{"bodies in chunks of one byte that stop before their end", withHead(chunked, func(w io.Writer) error {
		return writeChunks(w, 256<<10, 1)
	})},
	{"bodies over the limit, announced", withHead(announced(16*crowdBodyLimit), func(w io.Writer) error {
		return writePieces(w, 16*crowdBodyLimit-1, 256<<10, 0)
	})},
	{"bodies over the limit, just sent", withHead(chunked, func(w io.Writer) error {
		return writeChunks(w, 16*crowdBodyLimit, 256<<10)
	})},
	{"heads without an end", func(w io.Writer, _ int) error {
		if _, err := io.WriteString(w, "POST /look/1 HTTP/1.1\r\nHost: "+standin.Host+"\r\n"); err != nil {
			return err
		}
		var b bytes.Buffer
		for i := range 64 << 10 {
			fmt.Fprintf(&b, "A%x: 1\r\n", i)
		}
		_, err := w.Write(b.Bytes())

		return err
	}},
	{"heads with as many fields as the limit of bytes allows, before a body that stops", func(w io.Writer, n int) error {
		fields := []string{"Content-Length: 10"}
		for i := range 1500 {
			fields = append(fields, fmt.Sprintf("A%x: 1", i))
		}
		_, err := io.WriteString(w, requestHead(n, fields...))

		return err
	}},
}

// crowd is a number of clients that stay connected to a gateway.
type crowd struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// startCrowd starts n clients. A client that has written its request waits until the gateway closes
// the connection, reading nothing, and then comes back.
func startCrowd(address string, n int, write func(w io.Writer, n int) error) *crowd {
	ctx, cancel := context.WithCancel(context.Background())
	cr := &crowd{cancel: cancel}
	for i := range n {
		cr.wg.Go(func() {
			for ctx.Err() == nil {
				conn, err := net.DialTimeout("tcp", address, time.Second)
				if err == nil {
					stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
					_ = write(conn, i) // fails once it is refused
					awaitClosed(ctx, conn)
					stop()
					_ = conn.Close()
				}
				select {
				case <-time.After(50 * time.Millisecond):
				case <-ctx.Done():
				}
			}
		})
	}

	return cr
}

// awaitClosed waits until the other end has closed a connection, without reading from it.
func awaitClosed(ctx context.Context, conn net.Conn) {
	rc, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return
	}
	for ctx.Err() == nil {
		isClosed := false
		err := rc.Control(func(fd uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			isClosed = err != nil || info.State != 1 // not established
		})
		if err != nil || isClosed {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (cr *crowd) leave() {
	cr.cancel()
	cr.wg.Wait()
}

// footprint is what a process uses of its machine.
type footprint struct {
	memory, peak, unread int64 // bytes
	files                int
}

// observer records the largest footprint of a process.
type observer struct {
	pr      *process
	pid     int
	largest footprint
	cancel  context.CancelFunc
	done    chan struct{}
}

// observe records the footprint of a process until stop is called. ports are those whose connections
// count with what has arrived and is not read.
func observe(pr *process, ports ...int) *observer {
	ctx, cancel := context.WithCancel(context.Background())
	pr.mu.Lock()
	ob := &observer{pr: pr, pid: pr.cmd.Process.Pid, cancel: cancel, done: make(chan struct{})}
	pr.mu.Unlock()
	go func() {
		defer close(ob.done)
		for ctx.Err() == nil {
			ob.sample(ports)
			time.Sleep(20 * time.Millisecond)
		}
	}()

	return ob
}

func (ob *observer) sample(ports []int) {
	memory, peak := memoryOf(ob.pid)
	unread := unreadBytes(ob.pr.ip, ports)
	ob.largest.memory = max(ob.largest.memory, memory+unread)
	ob.largest.unread = max(ob.largest.unread, unread)
	ob.largest.peak = max(ob.largest.peak, peak)
	if names, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", ob.pid)); err == nil {
		ob.largest.files = max(ob.largest.files, len(names))
	}
}

func (ob *observer) stop() footprint {
	ob.cancel()
	<-ob.done

	return ob.largest
}

// memoryOf returns the resident memory of a process and its peak, in bytes.
func memoryOf(pid int) (now, peak int64) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(b)) {
		var kb int64
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil {
			now = kb << 10
		}
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kb); err == nil {
			peak = kb << 10
		}
	}

	return now, peak
}

// unreadBytes returns the bytes that have arrived at some ports of an address and are not read yet.
func unreadBytes(ip string, ports []int) int64 {
	b, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	ad := net.ParseIP(ip).To4()
	var total int64
	for line := range strings.Lines(string(b)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[3] == "0A" { // a listener's queue counts connections
			continue
		}
		for _, port := range ports {
			if fields[1] == fmt.Sprintf("%02X%02X%02X%02X:%04X", ad[3], ad[2], ad[1], ad[0], port) {
				_, rx, _ := strings.Cut(fields[4], ":")
				n, _ := strconv.ParseInt(rx, 16, 64)
				total += n
			}
		}
	}

	return total
}

// peerPort returns the port on which a process listens for the deployment's other processes.
func peerPort(pr *process) int {
	_, port, _ := net.SplitHostPort(pr.peerListen)
	n, _ := strconv.Atoi(port) // formatted by newDeployment

	return n
}

// withBodyLimit returns a configuration whose bodies are limited to crowdBodyLimit.
func withBodyLimit(version int) map[string]any {
	cfg := standin.Configuration(version)
	cfg["limits"] = map[string]any{"max_header_bytes": 16384, "max_body_bytes": crowdBodyLimit, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}

	return cfg
}

// Guards against clients that make a process hold more than its machine has: it ended for lack of
// memory, or refused ordinary callers while they stayed.
var _ = ginkgo.Describe("a crowd of clients that don't behave", ginkgo.Label("crowd"), ginkgo.Ordered, ginkgo.ContinueOnFailure, func() {
	ctx := context.Background()
	var de *deployment
	var gateway *process
	var address string
	ofRole := func(role string) (out []*process) {
		for _, pr := range de.processes {
			if pr.role == role {
				out = append(out, pr)
			}
		}

		return out
	}
	lookup := func(id string) error {
		an, err := de.caller.Lookup(ctx, gateway.ip, id, false)
		if err == nil && an.Status != http.StatusOK {
			err = fmt.Errorf("status %d", an.Status)
		}

		return err
	}
	// answered sends ordinary requests until one is answered, for some time.
	answered := func() error {
		var err error
		for began, n := time.Now(), 0; time.Since(began) < readyWithin; n++ {
			if err = lookup(fmt.Sprintf("ordinary-%d-%d", n, rand.Uint64())); err == nil {
				return nil
			}
			time.Sleep(20 * time.Millisecond)
		}

		return err
	}
	restart := func(pr *process) {
		Expect(pr.stop(syscall.SIGKILL)).To(Succeed())
		Expect(pr.start()).To(Succeed())
		pr.mu.Lock()
		pid := pr.cmd.Process.Pid
		pr.mu.Unlock()
		if files := pr.settings.Limits.Files; files > 0 {
			Expect(unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(files), Max: uint64(files)}, nil)).To(Succeed())
		}
	}
	// excesses stops the observers and returns a message for each limit that a process exceeded.
	excesses := func(name string, obs ...*observer) (out []string) {
		for _, ob := range obs {
			fo, li := ob.stop(), ob.pr.settings.Limits
			fmt.Fprintf(os.Stderr, "%s, %s: %d MB with unread bytes, peak of the process %d MB, unread %d MB, %d descriptors\n",
				name, ob.pr.settings.Name, fo.memory>>20, fo.peak>>20, fo.unread>>20, fo.files)
			out = append(out, ob.pr.unexpectedExits()...)
			if limit := int64(li.MemoryMB) << 20; fo.memory > limit || fo.peak > limit {
				out = append(out, fmt.Sprintf("%s: %d bytes of memory with what had arrived, peak %d, the limit is %d", ob.pr.settings.Name, fo.memory, fo.peak, limit))
			}
			if li.Files > 0 && fo.files >= li.Files {
				out = append(out, fmt.Sprintf("%s: %d file descriptors, the limit is %d", ob.pr.settings.Name, fo.files, li.Files))
			}
		}

		return out
	}
	// bear plays a crowd and expects that some processes stayed within their limits, and that ordinary
	// requests were answered while it was there and after it.
	bear := func(name string, clients int, write func(w io.Writer, n int) error, processes ...*process) {
		var obs []*observer
		for _, pr := range processes {
			obs = append(obs, observe(pr, de.caller.Ports.Clients, peerPort(pr)))
		}
		cr := startCrowd(address, clients, write)
		time.Sleep(crowdStay / 2)
		during := answered()
		time.Sleep(crowdStay / 2)
		cr.leave()
		after := answered()
		fmt.Fprintf(os.Stderr, "%s: ordinary requests while the crowd is there: %v, after it: %v\n", name, during, after)
		Expect(excesses(name, obs...)).To(BeEmpty())
		Expect(during).NotTo(HaveOccurred(), "an ordinary request while the crowd is there")
		Expect(after).NotTo(HaveOccurred(), "an ordinary request after the crowd")
	}

	ginkgo.BeforeAll(func() {
		cfg := Config{
			Folder: filepath.Join(folder, "crowd"), Subnet: 90, Binary: binary, Gateways: 1, Stores: 3, PlainServers: 2, Engines: 2,
			Limits: map[string]standin.Limits{
				program.RoleGateway: {MemoryMB: crowdGatewayMemory, Files: crowdFiles}, program.RoleStore: {MemoryMB: crowdStoreMemory},
			},
		}
		cfg.Defaults()
		Expect(makeFolders(&cfg)).To(Succeed())
		var err error
		de, err = newDeployment(ctx, &cfg)
		Expect(err).NotTo(HaveOccurred())
		Expect(de.caller.CallControllers(ctx, http.MethodPut, "/config", withBodyLimit(2))).To(Succeed())
		gateway = ofRole(program.RoleGateway)[0]
		address = net.JoinHostPort(gateway.ip, strconv.Itoa(de.caller.Ports.Clients))
	})
	ginkgo.AfterAll(func() {
		Expect(de.close()).To(Succeed())
	})
	ginkgo.BeforeEach(func() {
		restart(gateway)
		Expect(answered()).To(Succeed(), "an ordinary request before the crowd")
		time.Sleep(time.Second) // the configuration is in force
	})

	for _, bc := range badClients {
		ginkgo.It("is borne: "+bc.name, func() { bear(bc.name, crowdClients, bc.write, gateway) })
	}

	ginkgo.It("is borne: connections that send nothing", func() {
		bear("connections that send nothing", crowdConnections, func(io.Writer, int) error { return nil }, gateway)
	})

	// itemBody is so large that a job with one item is of legal size.
	itemBody := base64.StdEncoding.EncodeToString(make([]byte, crowdBodyLimit/4*3-4096))
	// jobOf returns a job that waits for weights that are never named.
	jobOf := func(id, body string) []byte {
		b, err := json.Marshal(map[string]any{
			"step": 1, "model": standin.Model, "min_version": 99, "target_groups": 1, "requests": []map[string]any{{
				"id": standin.ItemID(id, 0), "path": "/jobs/x", "headers": map[string]string{"Model": standin.Model, "Token-Counts": "4"}, "body": body,
				"tokens": 10, "group": "g",
			}},
		})
		Expect(err).NotTo(HaveOccurred())

		return b
	}
	submit := func(id string, b []byte) int {
		rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/jobs/"+id, bytes.NewReader(b))
		Expect(err).NotTo(HaveOccurred())
		rq.Host = standin.Host
		rq.Header.Set("X-Api-Key", standin.Key)
		rq.Header.Set("Attempt-Id", id)
		rs, err := (&http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(rq)
		if err != nil {
			return 0
		}
		defer rs.Body.Close()
		_, _ = io.Copy(io.Discard, rs.Body)

		return rs.StatusCode
	}
	var accepted []string

	ginkgo.It("is borne: batch jobs of legal size, also by stores that start again with them", func() {
		stores := ofRole(program.RoleStore)
		var obs []*observer
		for _, pr := range append(slices.Clone(stores), gateway) {
			obs = append(obs, observe(pr, de.caller.Ports.Clients, peerPort(pr)))
		}
		var mu sync.Mutex
		var jobs sync.WaitGroup
		statuses := map[int]int{}
		for i := range crowdJobs {
			id := fmt.Sprintf("large%d", i)
			b := jobOf(id, itemBody)
			jobs.Go(func() {
				status := 0
				// A job that was refused is sent again, as trainers do.
				for began := time.Now(); status != http.StatusAccepted && time.Since(began) < 2*crowdStay; time.Sleep(200 * time.Millisecond) {
					status = submit(id, b)
				}
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
				if status == http.StatusAccepted {
					accepted = append(accepted, id)
				}
			})
		}
		jobs.Wait()
		fmt.Fprintf(os.Stderr, "statuses of %d jobs: %v\n", crowdJobs, statuses)
		after := answered()
		small := 0
		for began := time.Now(); small != http.StatusAccepted && time.Since(began) < readyWithin; time.Sleep(100 * time.Millisecond) {
			small = submit("small", jobOf("small", "AAAA"))
		}
		time.Sleep(2 * time.Second)
		exceeded := excesses("batch jobs of legal size", obs...)

		for _, pr := range stores {
			Expect(pr.stop(syscall.SIGKILL)).To(Succeed())
		}
		obs = nil
		for _, pr := range stores {
			Expect(pr.start()).To(Succeed())
			obs = append(obs, observe(pr, peerPort(pr)))
		}
		lost := map[string]int{}
		for _, id := range append(slices.Clone(accepted), "small") {
			status := 0
			for began := time.Now(); status != http.StatusOK && time.Since(began) < readyWithin; time.Sleep(50 * time.Millisecond) {
				_, status, _ = de.caller.Read(ctx, gateway.ip, id) // a failed read has the status 0
			}
			if status != http.StatusOK {
				lost[id] = status
			}
		}
		time.Sleep(2 * time.Second)
		fmt.Fprintf(os.Stderr, "after the stores have started again %d jobs are not read: %v\n", len(lost), lost)
		exceeded = append(exceeded, excesses("stores that start again", obs...)...)
		Expect(after).NotTo(HaveOccurred(), "an ordinary request after the crowd")
		Expect(accepted).NotTo(BeEmpty(), "a job inside the limits is accepted")
		Expect(small).To(Equal(http.StatusAccepted), "a small job after the crowd")
		Expect(lost).To(BeEmpty(), "accepted jobs are kept")
		Expect(exceeded).To(BeEmpty())
	})

	ginkgo.It("is borne: answers that are not read", func() {
		if len(accepted) == 0 {
			Expect(submit("large0", jobOf("large0", itemBody))).To(Equal(http.StatusAccepted))
			accepted = append(accepted, "large0")
		}
		bear("answers that are not read", crowdClients, func(w io.Writer, n int) error {
			job := accepted[n%len(accepted)]
			_, err := fmt.Fprintf(w, "GET /items/%s?id=%s HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\n\r\n", job, standin.ItemID(job, 0), standin.Host, standin.Key)

			return err
		}, append(ofRole(program.RoleStore), gateway)...)
	})

	// A default must not meet a client inside the limits.
	ginkgo.It("leaves a lone body of legal size alone that is slow but moving", func() {
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST /look/1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: slow\r\nX-Api-Key: %s\r\nContent-Length: %d\r\n\r\n", standin.Host, standin.Key, crowdBodyLimit)
		Expect(err).NotTo(HaveOccurred())
		Expect(writePieces(conn, crowdBodyLimit, crowdBodyLimit/24, 250*time.Millisecond)).To(Succeed())
		rs, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		defer rs.Body.Close()
		Expect(rs.StatusCode).To(Equal(http.StatusOK))
	})
})
