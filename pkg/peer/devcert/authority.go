// Package devcert issues certificates for routers in demos and tests. Operators bring
// their own authority in production.
package devcert

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/juju/errors"
)

// lifetime of the certificates; they are valid from an hour ago on, so that hosts whose
// clocks differ a little accept them.
const lifetime = 30 * 24 * time.Hour

// Authority signs routers' certificates.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	// PEM is the authority's own certificate.
	PEM []byte
}

// NewAuthority makes an authority with a fresh key.
func NewAuthority(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Trace(err)
	}
	template, err := template(name)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Annotate(err, "sign authority")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Authority{cert: cert, key: key, PEM: block("CERTIFICATE", der)}, nil
}

func template(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, errors.Trace(err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(lifetime),
	}, nil
}

func block(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
