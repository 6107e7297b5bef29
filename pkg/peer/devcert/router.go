package devcert

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"os"
	"path/filepath"

	"github.com/juju/errors"
)

// Files are the PEM files that a router's settings name.
type Files struct{ Cert, Key, CA string }

// Issue signs a certificate for the router id and writes it to dir as id.crt, with its
// key as id.key and the authorities to trust, this one and also, as id.ca.
func (a *Authority) Issue(dir, id string, also ...*Authority) (Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Files{}, errors.Trace(err)
	}
	cert, err := a.sign(id, key)
	if err != nil {
		return Files{}, err
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Files{}, errors.Trace(err)
	}
	trusted := append([]byte(nil), a.PEM...)
	for _, other := range also {
		trusted = append(trusted, other.PEM...)
	}
	base := filepath.Join(dir, id)
	files := Files{Cert: base + ".crt", Key: base + ".key", CA: base + ".ca"}
	return files, files.write(cert, block("EC PRIVATE KEY", keyDER), trusted)
}

func (a *Authority) sign(id string, key *ecdsa.PrivateKey) ([]byte, error) {
	template, err := template(id)
	if err != nil {
		return nil, err
	}
	template.DNSNames = []string{id}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return nil, errors.Annotatef(err, "sign certificate of %s", id)
	}
	return block("CERTIFICATE", der), nil
}

func (f Files) write(cert, key, ca []byte) error {
	for name, data := range map[string][]byte{f.Cert: cert, f.Key: key, f.CA: ca} {
		if err := os.WriteFile(name, data, 0o600); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}
