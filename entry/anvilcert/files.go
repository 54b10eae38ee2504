// Package anvilcert loads the certificate, its private key and the trusted certificates from PEM files, and reloads them
// when a file changes.
package anvilcert

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

// checkInterval is short, so that a replaced certificate is in use long before the old one expires.
const checkInterval = 10 * time.Second

// FileError reports a file that can't be read or has invalid contents.
type FileError struct {
	file  string
	cause error
}

// File returns the path of the file. An invalid private key is reported with the path of its certificate.
func (e *FileError) File() string { return e.file }

func (e *FileError) Unwrap() error { return e.cause }

// Error returns the path and the cause on one line.
func (e *FileError) Error() string { return fmt.Sprintf("%s: %v", e.file, e.cause) }

// Files holds the certificates as last loaded. It is safe for concurrent use.
type Files struct {
	cert, key, ca string
	loaded        atomic.Pointer[certificates]
}

type certificates struct {
	cert   tls.Certificate
	pool   *x509.CertPool
	stamps [3]fileStamp
}

// fileStamp changes when a file is replaced or written.
type fileStamp struct {
	modTime time.Time
	size    int64
}

// Load reads the PEM files of the certificate chain, its private key and the trusted certificates. The error is a
// *FileError.
func Load(cert, key, ca string) (*Files, error) {
	f := &Files{cert: cert, key: key, ca: ca}
	c, err := f.read()
	if err != nil {
		return nil, err
	}
	f.loaded.Store(c)
	return f, nil
}

// Certificate returns the certificate chain with its private key, as last loaded. The caller must not change it.
func (f *Files) Certificate() *tls.Certificate { return &f.loaded.Load().cert }

// Pool returns the trusted certificates as last loaded. The caller must not change the pool.
func (f *Files) Pool() *x509.CertPool { return f.loaded.Load().pool }

// Watch reloads changed files until ctx ends. When that fails, the certificates in use stay, because a replacement may
// be half written; Watch logs the error and retries at the next interval.
func (f *Files) Watch(ctx context.Context, log logr.Logger) {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		switch changed, err := f.Reload(); {
		case err != nil:
			log.Error(err, "certificate files can't be used")
		case changed:
			log.Info("certificate files reloaded")
		}
	}
}

// Reload loads the files again if one of them has changed, and reports whether it did. After an error the certificates
// in use stay.
func (f *Files) Reload() (bool, error) {
	current, err := f.stamps()
	if err != nil || current == f.loaded.Load().stamps {
		return false, err
	}
	c, err := f.read()
	if err != nil {
		return false, err
	}
	f.loaded.Store(c)
	return true, nil
}

func (f *Files) stamps() ([3]fileStamp, error) {
	var out [3]fileStamp
	for i, file := range [3]string{f.cert, f.key, f.ca} {
		info, err := os.Stat(file)
		if err != nil {
			return out, &FileError{file: file, cause: err}
		}
		out[i] = fileStamp{modTime: info.ModTime(), size: info.Size()}
	}
	return out, nil
}

func (f *Files) read() (*certificates, error) {
	// The stamps are read first, so that a file that changes while it is being read is loaded again.
	stamps, err := f.stamps()
	if err != nil {
		return nil, err
	}
	cert, err := tls.LoadX509KeyPair(f.cert, f.key)
	if err != nil {
		return nil, &FileError{file: f.cert, cause: err}
	}
	text, err := os.ReadFile(f.ca)
	if err != nil {
		return nil, &FileError{file: f.ca, cause: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, &FileError{file: f.ca, cause: fmt.Errorf("the file contains no certificate")}
	}
	return &certificates{cert: cert, pool: pool, stamps: stamps}, nil
}
