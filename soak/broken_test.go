package soak_test

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/program"
	"github.com/tamarackbay/tamarackbay/platform/standin"
)

const (
	// longUpload is the size in bytes of a body that the buffers of two sockets do not hold.
	longUpload = 8 << 20
	// brokenRuns is how many runs of an item or of its reward call get a broken answer before a sound one.
	brokenRuns = 3
	// brokenMemory is the memory in MiB of a process, with room for all large requests at once.
	brokenMemory = 2000
	// itemWithin limits the time until an item is listed.
	itemWithin = 20 * time.Second
	// brokenEvents is the number of events of a stream and of an item's text.
	brokenEvents = 4
)

const (
	signedHead = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: broken\r\nWeight-Versions: 1\r\n"
	firstEvent = "id: 1\ndata: {id}-1\n\n"
)

// script holds the answers that backend servers give in place of proper ones.
type script struct {
	mu      sync.Mutex
	answers map[string][]*standin.EarlyAnswer // by ID of the request, for each run; the last one for all later runs
}

// set sets the answers to the runs of a request. The last one is that to all later runs; nil is a proper answer.
func (sc *script) set(id string, answers ...*standin.EarlyAnswer) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.answers[id] = answers
}

func (sc *script) next(r *http.Request) *standin.EarlyAnswer {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	id := r.Header.Get("Attempt-Id")
	left := sc.answers[id]
	if len(left) == 0 {
		return nil
	}
	if len(left) > 1 {
		sc.answers[id] = left[1:]
	}

	return left[0]
}

// brokenDeployment is a deployment whose backend servers answer as a script says.
type brokenDeployment struct {
	*deployment
	script *script
}

func startBroken(ctx context.Context, subnet, cores int) *brokenDeployment {
	cfg := Config{
		Folder: filepath.Join(folder, fmt.Sprint("broken", cores)), Subnet: subnet, Binary: binary, Gateways: 1, IsDirect: true, Cores: cores,
		Limits: map[string]standin.Limits{program.RoleGateway: {MemoryMB: brokenMemory}, program.RoleStore: {MemoryMB: brokenMemory}},
	}
	cfg.Defaults()
	Expect(makeFolders(&cfg)).To(Succeed())
	de, err := newDeployment(ctx, &cfg)
	Expect(err).NotTo(HaveOccurred())
	sc := &script{answers: map[string][]*standin.EarlyAnswer{}}
	for _, bs := range de.servers {
		bs.AnswerEarly(sc.next)
	}

	return &brokenDeployment{de, sc}
}

// request sends a request whose body has about the given size. Each has a path of its own, so that none is
// quarantined for what another one did.
func (bd *brokenDeployment) request(ctx context.Context, path, id string, bytes int) (standin.Answer, error) {
	h := map[string]string{"Attempt-Id": id}
	if strings.HasPrefix(path, "/stream/") {
		h["Model"], h["Token-Counts"] = standin.Model, strconv.Itoa(brokenEvents)
	}

	return bd.caller.Client(ctx, bd.gateways()[0], http.MethodPost, path+id, h, strings.Repeat("x", bytes))
}

// runs returns how often a request ran.
func (bd *brokenDeployment) runs(id string) int {
	n := 0
	for _, bs := range bd.servers {
		n += bs.Runs()[id]
	}

	return n
}

// brokenOutcome sends a request all of whose answers are broken. It returns "" unless one of them is passed on as a
// success, the client is told that the request has not run, or one that may run once runs again.
func (bd *brokenDeployment) brokenOutcome(ctx context.Context, path, id string, bytes int) string {
	an, err := bd.request(ctx, path, id, bytes)
	isStream := strings.HasPrefix(path, "/stream/")
	switch {
	case err != nil && isStream: // it broke off
		return ""
	case err != nil:
		return fmt.Sprintf("%s: %v", id, err)
	case an.Status != http.StatusInternalServerError && an.Status != http.StatusBadGateway && an.Status != http.StatusGatewayTimeout:
		return fmt.Sprintf("%s: status %d: %s", id, an.Status, an.Body)
	case strings.HasPrefix(path, "/once/") && bd.runs(id) > 1:
		return fmt.Sprintf("%s ran %d times", id, bd.runs(id))
	}

	return ""
}

// checkSound expects that a request is answered with a body as a success.
func (bd *brokenDeployment) checkSound(ctx context.Context, path, id string, bytes int, body string) {
	an, err := bd.request(ctx, path, id, bytes)
	Expect(err).NotTo(HaveOccurred(), id)
	Expect(an.Status).To(Equal(http.StatusOK), "%s: %s", id, an.Body)
	Expect(string(an.Body)).To(Equal(body), id)
}

// breakItem makes the first runs of a job's only item, and of its reward call, get a broken answer.
func (bd *brokenDeployment) breakItem(job string, ea *standin.EarlyAnswer) {
	score := &standin.EarlyAnswer{
		Bytes: "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: " + standin.Stamp + "\r\nContent-Length: 0\r\n\r\n", End: standin.EndKeep,
	}
	bd.script.set(standin.ItemID(job, 0), append(slices.Repeat([]*standin.EarlyAnswer{ea}, brokenRuns), nil)...)
	bd.script.set(rewardID(job), append(slices.Repeat([]*standin.EarlyAnswer{ea}, brokenRuns), score)...)
}

// checkItem runs a batch job of one item, whose body and that of its reward call have a given size, and
// returns an error unless it is listed with the whole text and the score of a sound answer.
func (bd *brokenDeployment) checkItem(ctx context.Context, job string, bytes int) error {
	id, body := standin.ItemID(job, 0), base64.StdEncoding.EncodeToString(make([]byte, bytes))
	an, err := bd.caller.Client(ctx, bd.gateways()[0], http.MethodPost, "/jobs/"+job, map[string]string{"Attempt-Id": job}, map[string]any{
		"step": 1, "model": standin.Model, "min_version": 1, "target_groups": 1, "requests": []map[string]any{{
			"id": id, "path": "/jobs/" + id, "headers": map[string]string{"Model": standin.Model, "Token-Counts": strconv.Itoa(brokenEvents)},
			"body": body, "tokens": 10, "group": "g",
			"scorer": map[string]any{"id": rewardID(job), "host": standin.Host, "path": "/score/" + id, "body": body},
		}},
	})
	if err != nil {
		return err
	}
	if an.Status != http.StatusAccepted {
		return fmt.Errorf("%s: status %d: %s", job, an.Status, an.Body)
	}
	for began := time.Now(); time.Since(began) < itemWithin; time.Sleep(readPeriod / 5) {
		pa, _, err := bd.caller.Read(ctx, bd.gateways()[0], job)
		if err != nil || len(pa.Results) == 0 {
			continue
		}
		_, err = bd.caller.Finish(ctx, bd.gateways()[0], job) // frees the room of its bodies

		return errors.Join(err, pa.Results[0].Check(brokenEvents))
	}

	return fmt.Errorf("%s has no result after %v", job, itemWithin)
}

func rewardID(job string) string { return "s-" + standin.ItemID(job, 0) }

// outcomes runs f for each of n cases, some at a time, and returns what it returned, without "".
func outcomes(n, atOnce int, f func(i int) string) []string {
	var mu sync.Mutex
	var out []string
	inTurn(n, atOnce, func(i int) {
		if s := f(i); s != "" {
			mu.Lock()
			defer mu.Unlock()
			out = append(out, s)
		}
	})

	return out
}

// inTurn runs f for each of n cases, some at a time.
func inTurn(n, atOnce int, f func(i int)) {
	var wg sync.WaitGroup
	limit := make(chan struct{}, atOnce)
	for i := range n {
		limit <- struct{}{}
		wg.Go(func() {
			defer ginkgo.GinkgoRecover()
			defer func() { <-limit }()
			f(i)
		})
	}
	wg.Wait()
}

// Guards against broken answers of backend servers that reach clients as whole ones. With one core, as on the
// machines of the deployments, another goroutine learns first that a connection was reset than with several.
var _ = ginkgo.Describe("a broken answer, with real processes", func() {
	for i, tc := range []struct {
		name  string
		cores int
	}{{"one core", 1}, {"all cores", 0}} {
		ginkgo.Context("that use "+tc.name, ginkgo.Ordered, ginkgo.ContinueOnFailure, func() { testBroken(66+i, tc.cores) })
	}
})

func testBroken(subnet, cores int) {
	var bd *brokenDeployment
	ctx, cancel := context.WithCancel(context.Background())
	ginkgo.BeforeAll(func() { bd = startBroken(ctx, subnet, cores) })
	ginkgo.AfterAll(func() {
		cancel()
		Expect(bd.close()).To(Succeed())
		for _, pr := range bd.processes {
			Expect(pr.unexpectedExits()).To(BeEmpty())
		}
	})

	// The connection is reset while the request is written. Only the write may learn of it.
	var resets []standin.EarlyAnswer
	for _, closes := range []string{"", "Connection: close\r\n"} {
		for _, readsOn := range []bool{false, true} {
			for _, delay := range []time.Duration{0, 2 * time.Millisecond, 10 * time.Millisecond, 30 * time.Millisecond} {
				resets = append(resets, standin.EarlyAnswer{Bytes: signedHead + closes + "\r\n" + firstEvent, Delay: delay, ReadsOn: readsOn, End: standin.EndReset})
			}
		}
	}
	const (
		clients    = 4  // for each form of a reset
		largeAsked = 16 // large requests at a time
	)
	for _, path := range []string{"/look/", "/once/", "/stream/"} {
		ginkgo.It("without a length, cut by a reset during the upload, is none: "+path, func() {
			Expect(outcomes(clients*len(resets), largeAsked, func(i int) string {
				id := fmt.Sprintf("reset-%s-%d", strings.Trim(path, "/"), i)
				bd.script.set(id, &resets[i%len(resets)])

				return bd.brokenOutcome(ctx, path, id, longUpload)
			})).To(BeEmpty())
		})
	}
	ginkgo.It("without a length, cut by a reset during the upload, is no part of an item or of its score", func() {
		Expect(outcomes(len(resets), 2, func(i int) string {
			job := fmt.Sprintf("reset-job-%d", i)
			bd.breakItem(job, &resets[i])
			if err := bd.checkItem(ctx, job, longUpload); err != nil {
				return err.Error()
			}

			return ""
		})).To(BeEmpty())
	})

	testHeads(ctx, &bd)

	// Guards against checks that refuse more than broken answers.
	const whole = "whole answer of abcd"
	for n, tc := range []struct {
		name  string
		early standin.EarlyAnswer
		bytes int
		want  string
	}{
		{"without a length", standin.EarlyAnswer{Bytes: signedHead + "\r\n" + whole, End: standin.EndHalfClose}, 1, whole},
		{"without a length, that begins with a number", standin.EarlyAnswer{
			Bytes: signedHead + "\r\n5\r\n" + whole, End: standin.EndHalfClose,
		}, 1, "5\r\n" + whole},
		{"without a length, that says close", standin.EarlyAnswer{
			Bytes: signedHead + "Connection: close\r\n\r\n" + whole, End: standin.EndHalfClose,
		}, 1, whole},
		{"without a length, that comes before the upload is in", standin.EarlyAnswer{
			Bytes: signedHead + "\r\n" + whole, End: standin.EndHalfClose,
		}, longUpload, whole},
		{"without a length, whose connection ends while the upload is read", standin.EarlyAnswer{
			Bytes: signedHead + "\r\n" + whole, Delay: 30 * time.Millisecond, ReadsOn: true, End: standin.EndHalfClose,
		}, longUpload, whole},
		{"in chunks, that comes before the upload is in", standin.EarlyAnswer{
			Bytes: signedHead + chunkedField + "\r\n6\r\nwhole \r\ne\r\nanswer of abcd\r\n0\r\n\r\n", End: standin.EndKeep,
		}, longUpload, whole},
		{"with a length, that comes before the upload is in", standin.EarlyAnswer{
			Bytes: signedHead + "Content-Length: 20\r\n\r\n" + whole, End: standin.EndKeep,
		}, longUpload, whole},
		{"with a length, with a second answer behind it", standin.EarlyAnswer{
			Bytes: signedHead + "Content-Length: 20\r\n\r\n" + whole + signedHead + "Content-Length: 0\r\n\r\n", End: standin.EndHalfClose,
		}, 1, whole},
		{"with a length, that says close", standin.EarlyAnswer{
			Bytes: signedHead + "Connection: close\r\nContent-Length: 20\r\n\r\n" + whole, End: standin.EndHalfClose,
		}, 1, whole},
	} {
		ginkgo.It("is not one that arrives whole "+tc.name, func() {
			for _, path := range []string{"/look/", "/once/"} {
				inTurn(2*clients, largeAsked, func(i int) {
					id := fmt.Sprintf("sound-%d-%s-%d", n, strings.Trim(path, "/"), i)
					bd.script.set(id, &tc.early)
					bd.checkSound(ctx, path, id, tc.bytes, tc.want)
				})
			}
		})
	}
}

const (
	wrongEvent   = "id: 1\ndata: wrong\n\n"
	wrongChunks  = "13\r\n" + wrongEvent + "\r\n0\r\n\r\n"
	wrongHead    = signedHead + "Content-Type: text/event-stream\r\n"
	wrongFramed  = wrongHead + "Content-Length: 19\r\n\r\n" + wrongEvent
	chunkedField = "Transfer-Encoding: chunked\r\n"
)

// damagedField returns an answer in chunks in whose head the line that says so is replaced.
func damagedField(line string) string { return wrongHead + line + "\r\n\r\n" + wrongChunks }

// brokenHead is an answer whose head is broken, and what is wrong with it.
type brokenHead struct{ name, bytes string }

// damagedHeads lists answers whose head is not one by the grammar of the protocol, with the kind of damage.
var damagedHeads = []brokenHead{
	{"a blank at the end of the name of a field", damagedField("Transfer-Encoding : chunked")},
	{"a blank inside of the name of a field", damagedField("Transfer Encoding: chunked")},
	{"a blank before the name of a field", damagedField(" Transfer-Encoding: chunked")},
	{"a blank in place of the first byte of a name", damagedField(" ransfer-Encoding: chunked")},
	{"a tab in place of the first byte of a name", damagedField("\transfer-Encoding: chunked")},
	{"a blank in the name of a field of no meaning", strings.Replace(wrongFramed, "\r\n\r\n", "\r\nX-Note : 1\r\n\r\n", 1)},
	{"a control byte in the name of a field", damagedField("Transfer\x01Encoding: chunked")},
	{"a control byte at the end of the name of a field", damagedField("Transfer-Encoding\x01: chunked")},
	{"a tab at the end of the name of a field", damagedField("Transfer-Encoding\t: chunked")},
	{"a delete byte in the name of a field", damagedField("Transfer-\x7fEncoding: chunked")},
	{"no name of a field", damagedField(":ransfer-Encoding: chunked")},
	{"no colon", damagedField("Transfer-Encoding; chunked")},
	{"a control byte in a value", strings.Replace(wrongFramed, "Content-Type: ", "Content-Type: \x01", 1)},
	{"a line feed in place of a carriage return, which ends the head", strings.Replace(damagedField(chunkedField[:len(chunkedField)-2]), "text/event-stream\r\n", "text/event-stream\n\n", 1)},
	{"a line feed in place of the first carriage return", strings.Replace(wrongFramed, "200 OK\r\n", "200 OK\n\n", 1)},
	{"a letter in place of a carriage return", strings.Replace(wrongFramed, "stream\r\n", "streamx\n", 1)},
	{"a digit in place of the carriage return after a length", strings.Replace(wrongFramed, "Content-Length: 19\r\n", "Content-Length: 1\r9\n", 1)},
	{"a blank in place of the last carriage return", wrongHead + chunkedField + " \n" + wrongChunks},
	{"a letter in place of a line feed", strings.Replace(wrongHead, "stream\r\n", "stream\rx", 1) + chunkedField + "\r\n" + wrongChunks},
	{"a second blank in the status line", strings.Replace(wrongFramed, "HTTP/1.1 200", "HTTP/1.1  200", 1)},
	{"a control byte in the reason", strings.Replace(wrongFramed, "200 OK", "200 O\x01", 1)},
	{"no blank after the status", strings.Replace(wrongFramed, "200 OK", "200", 1)},
	{"another major version", strings.Replace(wrongFramed, "HTTP/1.1", "HTTP/2.1", 1)},
	{"another minor version", strings.Replace(wrongFramed, "HTTP/1.1", "HTTP/1.2", 1)},
	{"a sign before the length", strings.Replace(wrongFramed, "Length: 19", "Length: +19", 1)},
	{"a length below 0", strings.Replace(wrongFramed, "Length: 19", "Length: -9", 1)},
	{"a length over all bounds", strings.Replace(wrongFramed, "Length: 19", "Length: 99999999999999999999", 1)},
	{"a blank in the length", strings.Replace(wrongFramed, "Length: 19", "Length: 1 9", 1)},
	{"an empty length", strings.Replace(wrongFramed, "Length: 19", "Length:   ", 1)},
	{"two lengths", strings.Replace(wrongFramed, "Length: 19", "Length: 19\r\nContent-Length: 9", 1)},
	{"a version before the first", strings.Replace(damagedField("Transfer-Encoding: chunked"), "HTTP/1.1", "HTTP/0.1", 1)},
}

// contradictoryHeads lists answers whose heads say more than one thing about where the body ends.
var contradictoryHeads = []brokenHead{
	{"chunks in a version without them", strings.Replace(damagedField("Transfer-Encoding: chunked"), "HTTP/1.1", "HTTP/1.0", 1)},
	{"chunks and a length in a version without chunks", strings.Replace(damagedField("Transfer-Encoding: chunked\r\nContent-Length: 29"), "HTTP/1.1", "HTTP/1.0", 1)},
	{"chunks and a length", damagedField("Transfer-Encoding: chunked\r\nContent-Length: 29")},
	{"a length and a status without a body", strings.Replace(wrongFramed, "200", "204", 1)},
	{"chunks and a status without a body", strings.Replace(damagedField("Transfer-Encoding: chunked"), "200", "204", 1)},
	{"a body without a length and a status without a body", strings.Replace(damagedField("Connection: close"), "200", "204", 1)},
}

// changedStatuses lists answers in which one digit of the status is another one. The reason tells.
var changedStatuses = []brokenHead{
	{"a failure as a success", strings.Replace(wrongFramed, "200 OK", "200 Internal Server Error", 1)},
	{"a refusal as a success", strings.Replace(wrongFramed, "200 OK", "203 Service Unavailable", 1)},
	{"a failure as a refusal", strings.Replace(wrongFramed, "200 OK", "503 Internal Server Error", 1)},
	{"a success as a refusal by the rate", strings.Replace(wrongFramed, "200 OK", "421 Too Many Requests", 1)},
	{"a refusal by the rate as a fault of the request", strings.Replace(wrongFramed, "200 OK", "428 Too Many Requests", 1)},
}

// shortLengths lists answers whose length is shorter than the body by one byte of the head.
var shortLengths = []brokenHead{
	{"another digit", strings.Replace(wrongFramed, "Content-Length: 19", "Content-Length: 18", 1)},
	{"another first digit", strings.Replace(wrongFramed, "Content-Length: 19", "Content-Length: 09", 1)},
	{"a blank in place of the first digit", strings.Replace(wrongFramed, "Content-Length: 19", "Content-Length:  9", 1)},
	{"a blank in place of the last digit", strings.Replace(wrongFramed, "Content-Length: 19", "Content-Length: 1 ", 1)},
	{"no body", strings.Replace(strings.Replace(wrongFramed, "Content-Length: 19", "Content-Length: 0", 1), wrongEvent, "x", 1)},
}

// hiddenChunks lists answers in chunks in whose heads one byte makes the field that says so a valid one of another name.
var hiddenChunks = []brokenHead{
	{"another letter in the name", damagedField("Transfer-Encodinx: chunked")},
	{"another letter at the beginning of the name", damagedField("Uransfer-Encoding: chunked")},
	{"a colon in the name", damagedField("Transfer:Encoding: chunked")},
	{"another byte in the name, and a connection that says close", damagedField("Transfer_Encoding: chunked\r\nConnection: close")},
	{"another byte in the name, and an event in two chunks", wrongHead + "Transfer~Encoding: chunked\r\n\r\n" +
		"a\r\n" + wrongEvent[:10] + "\r\n9\r\n" + wrongEvent[10:] + "\r\n0\r\n\r\n"},
}

// unusualHeads lists heads of whole answers, that a check must not refuse.
var unusualHeads = []struct{ name, head string }{
	{"a success with the reason of another", "HTTP/1.1 200 Accepted\r\nAttempt-Id: {id}\r\nServer-Stamp: s\r\nContent-Length: 4\r\n\r\n"},
	{"a reason of no status", "HTTP/1.1 200 Well Done\r\nAttempt-Id: {id}\r\nServer-Stamp: s\r\nContent-Length: 4\r\n\r\n"},
	{"no reason", "HTTP/1.1 200 \r\nAttempt-Id: {id}\r\nServer-Stamp: s\r\nContent-Length: 4\r\n\r\n"},
	{"an older version", "HTTP/1.0 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: s\r\nContent-Length: 4\r\n\r\n"},
	{"names in lower case, and no blanks", "HTTP/1.1 200 OK\r\nattempt-id:{id}\r\nserver-stamp:s\r\ncontent-length:4\r\n\r\n"},
	{"further blanks around values, and empty ones", "HTTP/1.1 200 OK\r\nAttempt-Id:\t {id} \r\nServer-Stamp: s\t\r\nX:\r\nContent-Length:  4 \r\n\r\n"},
	{"bytes of other alphabets in values", "HTTP/1.1 200 \xc3\xbc\r\nAttempt-Id: {id}\r\nServer-Stamp: s\r\nX: \xe4:\xff\r\nContent-Length: 4\r\n\r\n"},
	{"interim answers before it", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + signedHead + "Content-Length: 4\r\n\r\n"},
}

// impossibleStatuses lists statuses that no answer to these requests has.
var impossibleStatuses = []string{"000", "001", "099", "101", "600", "700", "999", "-00", "+20"}

// testHeads tests answers with damaged heads, and with unusual ones.
func testHeads(ctx context.Context, bd **brokenDeployment) {
	const atOnce = 8
	answer := func(bytes string) *standin.EarlyAnswer {
		return &standin.EarlyAnswer{Bytes: bytes, End: standin.EndHalfClose}
	}
	var impossible []brokenHead
	for _, status := range impossibleStatuses {
		impossible = append(impossible, brokenHead{"status " + status, strings.Replace(wrongFramed, "200", status, 1)})
	}
	for _, kind := range []struct {
		name  string
		heads []brokenHead
	}{{"a damaged head", damagedHeads}, {"a status that no answer has", impossible}, {"a contradictory head", contradictoryHeads}, {"hidden chunks", hiddenChunks}, {"a changed status", changedStatuses}, {"a short length", shortLengths}} {
		for _, path := range []string{"/look/", "/once/", "/stream/"} {
			ginkgo.It("with "+kind.name+" is none: "+path, func() {
				Expect(outcomes(len(kind.heads), atOnce, func(i int) string {
					id := strings.ReplaceAll(fmt.Sprintf("%s-%s-%d", kind.name, strings.Trim(path, "/"), i), " ", "-")
					(*bd).script.set(id, answer(kind.heads[i].bytes))
					if out := (*bd).brokenOutcome(ctx, path, id, 1); out != "" {
						return kind.heads[i].name + ": " + out
					}

					return ""
				})).To(BeEmpty())
			})
		}
		ginkgo.It("with "+kind.name+" is no part of an item or of its score", func() {
			Expect(outcomes(len(kind.heads), atOnce, func(i int) string {
				job := strings.ReplaceAll(fmt.Sprintf("%s-job-%d", kind.name, i), " ", "-")
				(*bd).breakItem(job, answer(kind.heads[i].bytes))
				if err := (*bd).checkItem(ctx, job, 1); err != nil {
					return kind.heads[i].name + ": " + err.Error()
				}

				return ""
			})).To(BeEmpty())
		})
	}
	ginkgo.It("is not one whose head is unusual", func() {
		for _, path := range []string{"/look/", "/once/"} {
			inTurn(len(unusualHeads), atOnce, func(i int) {
				id := fmt.Sprintf("unusual-%s-%d", strings.Trim(path, "/"), i)
				(*bd).script.set(id, &standin.EarlyAnswer{Bytes: unusualHeads[i].head + "text", End: standin.EndKeep})
				(*bd).checkSound(ctx, path, id, 1, "text")
			})
		}
	})
}
