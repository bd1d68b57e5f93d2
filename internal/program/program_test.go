package program_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/fake"
	"github.com/tamarackbay/tamarackbay/internal/logging"
	"github.com/tamarackbay/tamarackbay/internal/program"
	"github.com/tamarackbay/tamarackbay/internal/settings"
	"github.com/tamarackbay/tamarackbay/internal/suite"
)

func TestProgram(t *testing.T) {
	suite.Run(t, "program")
}

// authority signs certificates for one deployment.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
}

func newAuthority(dir, name string) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	tpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, tpl, tpl, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	cert, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	au := &authority{cert: cert, key: key, file: filepath.Join(dir, name+"-ca.pem")}
	writePEM(au.file, "CERTIFICATE", der)

	return au
}

func writePEM(path, kind string, der []byte) {
	Expect(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)).To(Succeed())
}

// issue writes a certificate and its key for a process.
func (au *authority) issue(dir, name string, serial int64) settings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	tpl := &x509.Certificate{SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, tpl, au.cert, &key.PublicKey, au.key)
	Expect(err).NotTo(HaveOccurred())
	kb, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	t := settings.TLS{Certificate: filepath.Join(dir, name+".pem"), Key: filepath.Join(dir, name+".key"), CA: au.file}
	writePEM(t.Certificate, "CERTIFICATE", der)
	writePEM(t.Key, "EC PRIVATE KEY", kb)

	return t
}

var _ = Describe("a deployment with TLS", func() {
	It("serves callers over TLS, admits only agents with certificates of its own authority, and reloads certificates without a restart", func() {
		dir, err := os.MkdirTemp("", "tls-")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(os.RemoveAll, dir)
		own, foreign := newAuthority(dir, "own"), newAuthority(dir, "foreign")

		var se settings.Gateway
		settings.Defaults(&se)
		se.Name, se.DataFolder = "g", filepath.Join(dir, "data")
		se.CallerAddress, se.OperatorAddress, se.PeerAddress = "127.91.0.1:8080", "127.91.0.1:8081", "127.91.0.1:8082"
		se.Founders = []settings.Founder{{Name: "g", Address: se.PeerAddress}}
		se.TLS = own.issue(dir, "gateway", 2)
		Expect(se.Validate()).To(Succeed())
		pg, err := program.StartGateway(se, logging.Discard())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(pg.Kill)

		sv, err := fake.NewService("127.0.0.1:0", 0)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(sv.Close)
		for name, t := range map[string]settings.TLS{
			"known": own.issue(dir, "agent", 3), "foreign": foreign.issue(dir, "agent-foreign", 4), "plain": {},
		} {
			var as settings.Agent
			settings.Defaults(&as)
			as.Server, as.Service, as.Address, as.Gateways, as.TLS = name, "s", sv.Address(), []string{se.PeerAddress}, t
			pa, err := program.StartAgent(as, logging.Discard())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(pa.Kill)
		}
		servers := func() []string {
			var out []string
			if po, ok := pg.Gateway().Pools()["s"]; ok {
				for _, in := range po.Infos() {
					out = append(out, in.Server)
				}
			}

			return out
		}
		Eventually(servers, 10*time.Second).Should(Equal([]string{"known"}))
		Consistently(servers, time.Second).Should(Equal([]string{"known"}), "agents without a certificate of this authority are rejected")

		serial := func() int64 {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			got := int64(0)
			hc := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{
				InsecureSkipVerify: true, //nolint:gosec // only the serial number of the served certificate is compared
				VerifyConnection: func(cs tls.ConnectionState) error {
					got = cs.PeerCertificates[0].SerialNumber.Int64()

					return nil
				},
			}}}
			rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+se.CallerAddress+"/healthz", http.NoBody)
			Expect(err).NotTo(HaveOccurred())
			if rs, err := hc.Do(rq); err == nil {
				_ = rs.Body.Close()
			}

			return got
		}
		Expect(serial()).To(Equal(int64(2)))
		own.issue(dir, "gateway", 9)
		Eventually(serial, 10*time.Second, 200*time.Millisecond).Should(Equal(int64(9)))
	})

	It("fails to start with a numbered error when certificate files are missing", func() {
		var se settings.Gateway
		settings.Defaults(&se)
		se.TLS = settings.TLS{Certificate: "/none", Key: "/none", CA: "/none"}
		_, err := program.StartGateway(se, logging.Discard())
		Expect(err).To(MatchError(ContainSubstring("invalidSettings")))
	})
})
