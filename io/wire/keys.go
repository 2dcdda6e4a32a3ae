package wire

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/gravitational/trace"
)

// Keys are the paths of a process's key material, in PEM format. Either all three are set
// or none. All processes of a fleet have certificates of the same authority.
type Keys struct {
	CAFile   string `json:"ca_file"`
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
}

// Enabled reports whether keys are set.
func (k Keys) Enabled() bool {
	return k.CAFile != "" || k.CertFile != "" || k.KeyFile != ""
}

// TLS loads the keys. It returns nil if none are set. The configuration is for both client
// and server, which present their certificates and verify each other's.
func (k Keys) TLS() (*tls.Config, error) {
	if !k.Enabled() {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(k.CertFile, k.KeyFile)
	if err != nil {
		return nil, trace.Wrap(err, "loading %s and %s", k.CertFile, k.KeyFile)
	}
	pem, err := os.ReadFile(k.CAFile)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, trace.BadParameter("%s contains no certificate", k.CAFile)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      roots,
		ClientCAs:    roots,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
		ServerName:   ServerName,
		NextProtos:   []string{"http/1.1"},
	}, nil
}

// ServerName is the name in the certificate of every process. Processes connect by IP
// address, and a certificate proves only that its owner belongs to the fleet.
const ServerName = "dotterelgap.internal"
