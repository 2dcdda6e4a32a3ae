package wire

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
	"time"

	"github.com/gravitational/trace"
)

// Validity periods of generated certificates.
const (
	authorityValidity = 10 * 365 * 24 * time.Hour
	processValidity   = 2 * 365 * 24 * time.Hour
)

// Generate writes a certificate and key for one process to dir and returns the paths. It
// first creates the certificate authority if dir has none.
func Generate(dir, name string, now time.Time) (Keys, error) {
	keys := Keys{
		CAFile:   filepath.Join(dir, "ca.pem"),
		CertFile: filepath.Join(dir, name+".pem"),
		KeyFile:  filepath.Join(dir, name+".key"),
	}
	ca, caKey, err := authority(dir, now)
	if err != nil {
		return Keys{}, err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Keys{}, trace.Wrap(err)
	}
	cert := template(name, now, processValidity)
	cert.DNSNames = []string{ServerName}
	cert.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, cert, ca, &key.PublicKey, caKey)
	if err != nil {
		return Keys{}, trace.Wrap(err)
	}
	if err := writePEM(keys.CertFile, "CERTIFICATE", der, 0o644); err != nil {
		return Keys{}, err
	}
	return keys, writeKey(keys.KeyFile, key)
}

// authority loads the certificate authority in dir, or creates it.
func authority(dir string, now time.Time) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	certFile, keyFile := filepath.Join(dir, "ca.pem"), filepath.Join(dir, "ca.key")
	if _, err := os.Stat(certFile); err == nil {
		return loadAuthority(certFile, keyFile)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, trace.ConvertSystemError(err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	ca := template("dotterelgap authority", now, authorityValidity)
	ca.IsCA = true
	ca.BasicConstraintsValid = true
	ca.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, ca, ca, &key.PublicKey, key)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	if err := writePEM(certFile, "CERTIFICATE", der, 0o644); err != nil {
		return nil, nil, err
	}
	if err := writeKey(keyFile, key); err != nil {
		return nil, nil, err
	}
	return loadAuthority(certFile, keyFile)
}

func loadAuthority(certFile, keyFile string) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	certDER, err := readPEM(certFile)
	if err != nil {
		return nil, nil, err
	}
	keyDER, err := readPEM(keyFile)
	if err != nil {
		return nil, nil, err
	}
	cert, err := x509.ParseCertificate(certDER)
	if err != nil {
		return nil, nil, trace.Wrap(err, "parsing %s", certFile)
	}
	key, err := x509.ParseECPrivateKey(keyDER)
	return cert, key, trace.Wrap(err, "parsing %s", keyFile)
}

func template(name string, now time.Time, validity time.Duration) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		panic("wire: cannot generate a serial number: " + err.Error())
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(validity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
	}
}

func writeKey(name string, key *ecdsa.PrivateKey) error {
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return trace.Wrap(err)
	}
	return writePEM(name, "EC PRIVATE KEY", der, 0o600)
}

func writePEM(name, kind string, der []byte, mode os.FileMode) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return trace.ConvertSystemError(os.WriteFile(name, data, mode))
}

func readPEM(name string) ([]byte, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, trace.BadParameter("%s contains no PEM block", name)
	}
	return block.Bytes, nil
}
