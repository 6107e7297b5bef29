package peer

import "github.com/quic-go/quic-go"

// Flow control windows in bytes. They bound what a peer can make this router hold for
// one connection; control traffic fits into the first windows, configuration grows them.
const (
	firstWindow = 32 << 10
	lastWindow  = 512 << 10
)

func quicConfig(o Options) *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           o.HandshakeTimeout,
		MaxIdleTimeout:                 o.IdleTimeout,
		InitialStreamReceiveWindow:     firstWindow,
		MaxStreamReceiveWindow:         lastWindow,
		InitialConnectionReceiveWindow: firstWindow,
		MaxConnectionReceiveWindow:     lastWindow,
		MaxIncomingStreams:             -1,
		MaxIncomingUniStreams:          1,
		// Probes for larger packets would be most of an idle connection's bytes.
		DisablePathMTUDiscovery: true,
	}
}

// Codes that close a connection.
const (
	codeBye      quic.ApplicationErrorCode = iota // closing in good order
	codeRetired                                   // another connection took its place
	codeProtocol                                  // the peer broke the protocol
	codeIdentity                                  // the certificate is no longer accepted
	codeEvicted                                   // the bound of peers was reached
)
