package peer

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/juju/errors"
)

// credentials are one reading of the PEM files. They never change.
type credentials struct {
	cert  tls.Certificate
	pool  *x509.CertPool
	reset [sha256.Size]byte
	stamp stamp
}

// stamp tells whether the files changed since they were read.
type stamp [3]struct {
	modified time.Time
	size     int64
}

func stampOf(files [3]string) (stamp, error) {
	var s stamp
	for i, name := range files {
		info, err := os.Stat(name)
		if err != nil {
			return s, errors.Trace(err)
		}
		s[i].modified, s[i].size = info.ModTime(), info.Size()
	}
	return s, nil
}

// loadCredentials reads the PEM files of the certificate, its key and the authorities.
func loadCredentials(files [3]string) (*credentials, error) {
	// The stamp is taken first: a change during the reading is seen as a change later.
	s, err := stampOf(files)
	if err != nil {
		return nil, err
	}
	var pem [3][]byte
	for i, name := range files {
		if pem[i], err = os.ReadFile(name); err != nil {
			return nil, errors.Trace(err)
		}
	}
	cert, err := tls.X509KeyPair(pem[0], pem[1])
	if err != nil {
		return nil, errors.Annotate(err, "peer certificate and key")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem[2]) {
		return nil, errors.Errorf("no certificate authority in %s", files[2])
	}
	reset := sha256.Sum256(append([]byte("flamingowind stateless reset\n"), pem[1]...))
	return &credentials{cert: cert, pool: pool, reset: reset, stamp: s}, nil
}
