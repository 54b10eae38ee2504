package anvilintake_test

import (
	"fmt"
	"strings"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilpolicy"
)

// documentBytes is the length of the configuration's text, of which configRowBytes is the encoding.
const documentBytes = configRowBytes * 3 / 4

// configPage returns the page of the simulated store with a configuration of queues and a key, whose row has a version.
func configPage(version int64, queues int, key string, rowVersion int64) anvilstorage.PolicyPage {
	return anvilstorage.NewPolicyPage(simulatedPolicy(version, queues, key), rowVersion, rowVersion).
		WithDocument(configDocument(version, queues, key))
}

// configAnswer returns a stored page as part of an answer that is complete up to a version and lists a number of changes.
func configAnswer(page anvilstorage.PolicyPage, version int64, changes int) anvilstorage.PolicyPage {
	return anvilstorage.NewPolicyPage(page.Policy(), page.RowVersion(), version).WithDocument(page.Document()).WithChanges(changes)
}

// configDocument returns the text of a configuration, in which one of the entries differs from that of the version before.
func configDocument(version int64, queues int, key string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%d %d %s\n", version, queues, key)
	for i := int64(1); b.Len() < documentBytes; i++ {
		fmt.Fprintf(&b, "queue %x at host %x with timeout %d\n", i*1_299_709, i*104_729, max(400, 400*min(i, version)/max(i, version)))
	}
	return []byte(b.String())
}

// configParser decodes the texts of configDocument.
type configParser struct{}

func (configParser) ParsePolicy(document []byte) (*anvilpolicy.Policy, error) {
	var version int64
	var queues int
	var key string
	if _, err := fmt.Sscanf(string(document), "%d %d %s\n", &version, &queues, &key); err != nil {
		return nil, err
	}
	return simulatedPolicy(version, queues, key), nil
}
