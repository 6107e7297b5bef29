package devfleet

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingowind/flamingowind/pkg/settings"
)

func TestSettingsAreAcceptedByTheDaemonsLoader(t *testing.T) {
	plan := DemoPlan("bin", t.TempDir())
	plan.Routers, plan.Mode = 8, settings.SharingAlone
	authority, err := NewAuthority(plan.Dir)
	require.NoError(t, err)
	files, err := authority.Issue("router-04")
	require.NoError(t, err)

	s := routerSettings(plan, 3, "router-04", addresses{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4"})
	s.Peers = settings.Peers{Seeds: []string{"127.0.0.1:9"}, Cert: files.Cert, Key: files.Key, CA: authority.CAFile}
	s.Platform.URL, s.Operator.TokenFile = "http://127.0.0.1:5", files.Key
	file, err := writeSettings(plan.Dir, s)
	require.NoError(t, err)
	read, err := settings.Load(file)
	require.NoError(t, err)
	require.Equal(t, s, read)
	require.Equal(t, 3, read.Sharing.Slice)
}

func TestCertificateNamesTheRouterAndItsAddress(t *testing.T) {
	authority, err := NewAuthority(t.TempDir())
	require.NoError(t, err)
	files, err := authority.Issue("router-01")
	require.NoError(t, err)
	pair, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	require.NoError(t, err)
	ca, err := os.ReadFile(authority.CAFile)
	require.NoError(t, err)
	roots := x509.NewCertPool()
	require.True(t, roots.AppendCertsFromPEM(ca))
	for _, name := range []string{"router-01", "127.0.0.1"} {
		_, err = pair.Leaf.Verify(x509.VerifyOptions{DNSName: name, Roots: roots, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}})
		require.NoError(t, err, name)
	}
	require.Equal(t, "router-01", pair.Leaf.Subject.CommonName)
}
