package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/result"
)

// reloadPeriod is the minimum time between two checks of a certificate file.
const reloadPeriod = time.Second

// reloadingCertificate caches a certificate and reloads it when its file changes.
type reloadingCertificate struct {
	files      TLS
	mu         sync.Mutex
	checkedAt  time.Time
	modifiedAt time.Time
	cert       *tls.Certificate
}

// get returns the certificate, reloaded if its file has changed.
func (ce *reloadingCertificate) get() (*tls.Certificate, error) {
	ce.mu.Lock()
	defer ce.mu.Unlock()

	if ce.cert != nil && time.Since(ce.checkedAt) < reloadPeriod {
		return ce.cert, nil
	}
	ce.checkedAt = time.Now()
	fi, err := os.Stat(ce.files.Certificate)
	if err == nil && ce.cert != nil && fi.ModTime().Equal(ce.modifiedAt) {
		return ce.cert, nil
	}
	c, lerr := tls.LoadX509KeyPair(ce.files.Certificate, ce.files.Key)
	if lerr != nil {
		if ce.cert != nil {
			return ce.cert, nil // keep the old one, as the files may be in the middle of a replacement
		}

		return nil, lerr
	}
	ce.cert = &c
	if err == nil {
		ce.modifiedAt = fi.ModTime()
	}

	return ce.cert, nil
}

// Configs returns the TLS configurations for callers and for both ends of sessions
// between the deployment's processes. All are nil if TLS is not set.
func (t TLS) Configs() (caller, peerServer, peerClient *tls.Config, err error) {
	if !t.IsSet() {
		return nil, nil, nil, nil
	}

	ce := &reloadingCertificate{files: t}
	if _, err := ce.get(); err != nil {
		return nil, nil, nil, result.New(result.InvalidSettings, "settings: tls: %v", err)
	}
	pem, err := os.ReadFile(t.CA)
	if err != nil {
		return nil, nil, nil, result.New(result.InvalidSettings, "settings: tls: %v", err)
	}
	ca := x509.NewCertPool()
	if !ca.AppendCertsFromPEM(pem) {
		return nil, nil, nil, result.New(result.InvalidSettings, "settings: tls: file %s contains no certificate", t.CA)
	}

	get := func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return ce.get() }
	getClient := func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return ce.get() }
	caller = &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: get}
	peerServer = &tls.Config{
		MinVersion: tls.VersionTLS13, GetCertificate: get, ClientCAs: ca, ClientAuth: tls.RequireAndVerifyClientCert,
	}
	peerClient = &tls.Config{
		MinVersion: tls.VersionTLS13, GetClientCertificate: getClient, RootCAs: ca, InsecureSkipVerify: true, //nolint:gosec // the chain is verified below; certificates need not contain IP numbers
		VerifyConnection: func(cs tls.ConnectionState) error { return verifyChain(cs, ca) },
	}

	return caller, peerServer, peerClient, nil
}

// verifyChain checks that the peer's certificate was issued by one of the
// deployment's authorities.
func verifyChain(cs tls.ConnectionState, ca *x509.CertPool) error {
	if len(cs.PeerCertificates) == 0 {
		return result.New(result.OperatorForbidden, "tls: the peer presented no certificate")
	}

	inter := x509.NewCertPool()
	for _, c := range cs.PeerCertificates[1:] {
		inter.AddCert(c)
	}
	_, err := cs.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: ca, Intermediates: inter, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})

	return err
}
