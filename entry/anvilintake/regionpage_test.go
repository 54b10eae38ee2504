package anvilintake_test

import (
	"anvilhold.org/entry/anvilscheduler"
	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilpolicy"
)

// configPage returns the page of the simulated store with a configuration whose row has a version.
func configPage(p *anvilpolicy.Policy, version int64) anvilstorage.PolicyPage {
	return anvilstorage.NewPolicyPage(p, version, version)
}

// configAnswer returns a stored page as part of an answer that is complete up to a version and lists a number of changes.
func configAnswer(page anvilstorage.PolicyPage, version int64, _ int) anvilstorage.PolicyPage {
	return anvilstorage.NewPolicyPage(page.Policy(), page.RowVersion(), version)
}

func regionOptions() []anvilscheduler.Option { return nil }
