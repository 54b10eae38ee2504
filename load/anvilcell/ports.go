package anvilcell

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
)

// The ports lie below the kernel's range for outgoing connections, so that no connection takes a port between the
// check in freeAddr and the start of the process.
const (
	firstPort = 12000
	lastPort  = 30000
	portTries = 200
)

// freeAddr returns a loopback address with a free port that is not in used, and adds it there.
func freeAddr(used map[string]bool) (string, error) {
	for range portTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		if used[addr] {
			continue
		}
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			return "", err
		}
		used[addr] = true
		return addr, nil
	}
	return "", fmt.Errorf("no free port after %d tries", portTries)
}
