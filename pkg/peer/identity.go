package peer

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// identity gives the router ID that a certificate carries: its first DNS name, or the
// common name when it has no DNS name.
func identity(cert *x509.Certificate) wire.RouterID {
	if len(cert.DNSNames) > 0 {
		return wire.RouterID(cert.DNSNames[0])
	}
	return wire.RouterID(cert.Subject.CommonName)
}

// peerIdentity gives the router ID of a connection's verified peer.
func peerIdentity(state tls.ConnectionState) wire.RouterID {
	if len(state.PeerCertificates) == 0 {
		return ""
	}
	return identity(state.PeerCertificates[0])
}

// verifyChain checks certs, the peer's own first, against the authorities in pool.
func verifyChain(certs []*x509.Certificate, pool *x509.CertPool, use x509.ExtKeyUsage) error {
	if len(certs) == 0 {
		return errors.New("peer sent no certificate")
	}
	rest := x509.NewCertPool()
	for _, c := range certs[1:] {
		rest.AddCert(c)
	}
	_, err := certs[0].Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: rest,
		KeyUsages:     []x509.ExtKeyUsage{use},
	})
	if err != nil {
		return errors.Annotate(err, "verify peer's certificate")
	}
	if identity(certs[0]) == "" {
		return errors.New("peer's certificate carries no router ID")
	}
	return nil
}
