package devfleet

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"
)

// certLife is how long a development certificate is valid, in both directions from now.
const certLife = 24 * time.Hour

// Authority signs the routers' certificates for mutual TLS.
type Authority struct {
	// CAFile is the PEM file that peers trust.
	CAFile string

	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// CertFiles names the PEM files of one router.
type CertFiles struct{ Cert, Key string }

// NewAuthority makes a self-signed authority and writes its certificate to dir.
func NewAuthority(dir string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Annotate(err, "generate the authority's key")
	}
	template := newTemplate("devfleet authority")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, errors.Annotate(err, "sign the authority")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Annotate(err, "parse the authority")
	}
	a := &Authority{CAFile: filepath.Join(dir, "ca.pem"), dir: dir, cert: cert, key: key}
	return a, writePEM(a.CAFile, "CERTIFICATE", der)
}

// Issue signs a certificate whose DNS name and common name are the router's ID.
func (a *Authority) Issue(routerID string) (CertFiles, error) {
	files := CertFiles{
		Cert: filepath.Join(a.dir, routerID+".pem"),
		Key:  filepath.Join(a.dir, routerID+".key"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, errors.Annotate(err, "generate a router's key")
	}
	template := newTemplate(routerID)
	template.DNSNames = []string{routerID}
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	if err != nil {
		return files, errors.Annotate(err, "sign a router's certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return files, errors.Annotate(err, "encode a router's key")
	}
	if err := writePEM(files.Cert, "CERTIFICATE", der); err != nil {
		return files, err
	}
	return files, writePEM(files.Key, "PRIVATE KEY", keyDER)
}

func newTemplate(commonName string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: commonName},
		NotBefore:    now.Add(-certLife),
		NotAfter:     now.Add(certLife),
	}
}

func writePEM(file, kind string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return errors.Annotatef(os.WriteFile(file, data, 0o600), "write %s", filepath.Base(file))
}
