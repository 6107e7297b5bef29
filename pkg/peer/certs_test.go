package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// authority signs routers' certificates in tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newAuthority(t testing.TB, name string) authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return authority{cert: cert, key: key, pem: pemBlock("CERTIFICATE", der)}
}

func pemBlock(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// issue writes a router's certificate and key and the trusted authorities into dir.
func (a authority) issue(t testing.TB, dir, id string, trusted ...authority) (cert, key, ca string) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: id}, DNSNames: []string{id},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &k.PublicKey, a.key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(k)
	require.NoError(t, err)
	var cas []byte
	for _, other := range append([]authority{a}, trusted...) {
		cas = append(cas, other.pem...)
	}
	cert, key, ca = filepath.Join(dir, id+".crt"), filepath.Join(dir, id+".key"), filepath.Join(dir, id+".ca")
	require.NoError(t, os.WriteFile(cert, pemBlock("CERTIFICATE", der), 0o600))
	require.NoError(t, os.WriteFile(key, pemBlock("EC PRIVATE KEY", keyDER), 0o600))
	require.NoError(t, os.WriteFile(ca, cas, 0o600))
	return cert, key, ca
}
