package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/wire"
)

// protocolName is the ALPN name; it changes when old and new routers can't talk.
const protocolName = "flamingowind-peer/1"

// keyring holds the newest readable credentials.
type keyring struct {
	files   [3]string
	current atomic.Pointer[credentials]
	log     log.Interface
	// refused counts connections whose certificate wasn't accepted.
	refused *atomic.Uint64
}

func newKeyring(cert, key, ca string, logger log.Interface, refused *atomic.Uint64) (*keyring, error) {
	k := &keyring{files: [3]string{cert, key, ca}, log: logger, refused: refused}
	c, err := loadCredentials(k.files)
	if err != nil {
		return nil, err
	}
	k.current.Store(c)
	return k, nil
}

// ownID gives the router ID in this router's own certificate.
func (k *keyring) ownID() wire.RouterID {
	return identity(k.current.Load().cert.Leaf)
}

// reload reads the files again when they changed and reports whether it took them.
//
// Guard: an operator replaces three files one after the other, so a reading in between
// sees a certificate that doesn't fit its key. Such a reading is refused and the old
// credentials stay in use; the next look finds the whole set.
func (k *keyring) reload() bool {
	s, err := stampOf(k.files)
	if err == nil && s == k.current.Load().stamp {
		return false
	}
	c, err := loadCredentials(k.files)
	if err != nil {
		k.log.WithError(err).Warn("peer credentials can't be read, the old ones stay")
		return false
	}
	k.current.Store(c)
	k.log.Info("peer credentials read again")
	return true
}

// watch looks at the files until ctx ends and calls changed after a reload. Other files are taken
// within the time of every, once two looks have found the same.
//
// Guard: a file of authorities that is just being written is sound up to some certificate, and peers
// whose authority it lacks yet would be cut off.
func (k *keyring) watch(ctx context.Context, every time.Duration, changed func()) {
	ticker := time.NewTicker(every / 2)
	defer ticker.Stop()
	var seen stamp
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s, err := stampOf(k.files)
			settled := err != nil || s == seen
			seen = s
			if settled && k.reload() {
				changed()
			}
		}
	}
}

// server gives the TLS configuration for accepted connections.
func (k *keyring) server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocolName},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &k.current.Load().cert, nil
		},
		ClientAuth:             tls.RequireAnyClientCert,
		SessionTicketsDisabled: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			err := verifyChain(s.PeerCertificates, k.current.Load().pool, x509.ExtKeyUsageClientAuth)
			if err != nil {
				k.refused.Add(1)
				k.log.WithError(err).Debug("refused a peer")
			}
			return err
		},
	}
}

// client gives the TLS configuration to dial the router expect, or, when expect is
// empty, whatever router lives at a seed's address.
//
// InsecureSkipVerify only switches off the library's check of host names: routers are
// known by ID and not by host name, and an address may be dialled before its ID is
// known. VerifyConnection does the whole check of chain and ID in its place.
func (k *keyring) client(expect wire.RouterID) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocolName},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &k.current.Load().cert, nil
		},
		InsecureSkipVerify:     true,
		SessionTicketsDisabled: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			if err := verifyChain(s.PeerCertificates, k.current.Load().pool, x509.ExtKeyUsageServerAuth); err != nil {
				return err
			}
			if got := peerIdentity(s); expect != "" && got != expect {
				return errors.Errorf("address of router %q answers as %q", expect, got)
			}
			return nil
		},
	}
}
