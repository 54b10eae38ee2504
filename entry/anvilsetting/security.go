package anvilsetting

// Security holds the settings of keys and certificates.
type Security struct {
	bootstrap string
	cert      string
	key       string
	ca        string
	plain     bool
}

// Bootstrap returns the SHA-256, in hex, of the secret that authorizes operator requests while there is no operator
// key; empty means that there is no such secret.
func (s *Security) Bootstrap() string { return s.bootstrap }

// Cert returns the path of the PEM file with the certificate chain of both listeners, or "".
func (s *Security) Cert() string { return s.cert }

// Key returns the path of the PEM file with the private key of the certificate, or "".
func (s *Security) Key() string { return s.key }

// CA returns the path of the PEM file with the trusted certificates, against which those of other entry instances are
// verified, or "".
func (s *Security) CA() string { return s.ca }

// Plain reports whether the listeners use plain text instead of TLS.
func (s *Security) Plain() bool { return s.plain }

func (s *Security) section() section {
	return section{
		name: "security",
		doc:  "Keys and certificates. Certificate files are read again within 10 s of a change.",
		keys: []key{
			optional("bootstrap", hash(&s.bootstrap), "SHA-256 of a secret that authorizes operator requests while the configuration holds no operator key."),
			optional("cert", path(&s.cert), "File with the certificate chain of both listeners (PEM)."),
			optional("key", path(&s.key), "File with the private key of the certificate (PEM)."),
			optional("ca", path(&s.ca), "File with the trusted certificates, against which those of other entry instances are verified (PEM)."),
			{
				name: "plain", value: boolValue{&s.plain, false}, example: true,
				doc: "Serve plain text. Without it, cert, key and ca are required.",
			},
		},
	}
}
