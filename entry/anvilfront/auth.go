package anvilfront

import (
	"crypto/subtle"
	"net/http"
	"strings"

	"anvilhold.org/lib/anvilconfig"
	"anvilhold.org/lib/anvilerror"
)

// caller identifies who makes a request; team is empty for an operator and for an anonymous caller. version is that
// of the configuration that the key was checked against.
type caller struct {
	team     string
	operator bool
	version  int64
}

func checkServing(s State) *anvilerror.Error {
	switch {
	case s.Serving():
		return nil
	case s.Leaving():
		return leaving()
	default:
		return anvilerror.Refuse(anvilerror.Unconfirmed, "the instance has not read the configuration yet",
			anvilerror.WithRetry(startRetryDelay))
	}
}

// authenticate returns the caller of a request. A request without an Authorization header is anonymous: it belongs to
// no team.
func (f *Front) authenticate(r *http.Request) (caller, *anvilerror.Error) {
	s := f.state()
	if err := checkServing(s); err != nil {
		return caller{}, err
	}
	version := s.Config().Version()
	secret, given, err := bearerToken(r)
	if err != nil || !given {
		return caller{version: version}, err
	}
	if !s.Confirmed() {
		return caller{}, anvilerror.Refuse(anvilerror.Unconfirmed, "the configuration can't be confirmed",
			anvilerror.WithRetry(startRetryDelay))
	}
	if key, ok := s.Config().Authenticate(secret); ok {
		return caller{team: key.Team(), operator: key.Role() == anvilconfig.OperatorRole, version: version}, nil
	}
	if f.isBootstrap(s.Config(), secret) {
		return caller{operator: true, version: version}, nil
	}
	return caller{}, wrongKey()
}

// requireOperator returns an error unless the request comes from an operator.
func (f *Front) requireOperator(r *http.Request) *anvilerror.Error {
	c, err := f.authenticate(r)
	switch {
	case err != nil:
		return err
	case c.operator:
		return nil
	case c.team == "":
		return wrongKey()
	default:
		return anvilerror.Refuse(anvilerror.Forbidden, "only an operator may do this")
	}
}

// isBootstrap reports whether secret is the bootstrap secret, which is valid as long as the configuration holds no
// operator key.
func (f *Front) isBootstrap(cfg *anvilconfig.Snapshot, secret string) bool {
	if f.bootstrap == "" {
		return false
	}
	for _, k := range cfg.Keys() {
		if k.Role() == anvilconfig.OperatorRole {
			return false
		}
	}
	return subtle.ConstantTimeCompare([]byte(f.bootstrap), []byte(anvilconfig.HashKey(secret))) == 1
}

// bearerToken returns the token of the Authorization header. given is false when there is no such header.
func bearerToken(r *http.Request) (secret string, given bool, err *anvilerror.Error) {
	values := r.Header.Values("Authorization")
	if len(values) == 0 {
		return "", false, nil
	}
	scheme, secret, ok := strings.Cut(values[0], " ")
	if len(values) > 1 || !ok || !strings.EqualFold(scheme, "Bearer") || secret == "" {
		return "", true, wrongKey()
	}
	return secret, true, nil
}

func wrongKey() *anvilerror.Error {
	return anvilerror.Refuse(anvilerror.BadKey, "the key is missing, unknown or withdrawn")
}
