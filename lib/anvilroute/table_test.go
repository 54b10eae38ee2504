package anvilroute_test

import (
	"testing"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilroute"
	"anvilhold.org/lib/anvilsize"
)

func peer(instance, domain, region string, slots int64, opts ...anvilroute.PeerOption) anvilroute.Peer {
	size := anvilsize.New(slots, slots, 0)
	opts = append(opts, anvilroute.WithPool("p", domain, size, size, 0, 1))
	return anvilroute.NewPeer(instance, domain, region, opts...)
}

// Guards against a task that is sent to an instance that can't run it, or to one farther away than necessary.
func TestChoose(t *testing.T) {
	near, far, remote := peer("near", "d1", "r1", 5), peer("far", "d2", "r1", 50), peer("remote", "d3", "r2", 500)
	for _, c := range []struct {
		name  string
		peers []anvilroute.Peer
		tried []string
		age   anvilclock.Millis
		want  string
	}{
		{"own domain first", []anvilroute.Peer{far, near, remote}, nil, 0, "near"},
		{"own region next", []anvilroute.Peer{far, near, remote}, []string{"near"}, 0, "far"},
		{"other region last", []anvilroute.Peer{far, near, remote}, []string{"near", "far"}, 0, "remote"},
		{"free slots before distance", []anvilroute.Peer{peer("near", "d1", "r1", 0), far}, nil, 0, "far"},
		{"full instance rather than none", []anvilroute.Peer{peer("near", "d1", "r1", 0)}, nil, 0, "near"},
		{"leaving instance", []anvilroute.Peer{peer("near", "d1", "r1", 5, anvilroute.WithLeaving(true)), far}, nil, 0, "far"},
		{"team at its limit", []anvilroute.Peer{peer("near", "d1", "r1", 5, anvilroute.WithTeamsAtLimit("t")), far}, nil, 0, "far"},
		{"old summary", []anvilroute.Peer{near}, nil, 5001, ""},
		{"all tried", []anvilroute.Peer{near}, []string{"near"}, 0, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := anvilroute.New("self", "d1", "r1", 1)
			for _, p := range c.peers {
				table.Put(p, 1000)
			}
			got, ok := table.Choose("p", "t", anvilsize.New(1, 1, 0), c.tried, 1000+c.age)
			if got != c.want || ok != (c.want != "") {
				t.Errorf("chose %q %v, want %q", got, ok, c.want)
			}
		})
	}
}

// Guards against sending an owner more tasks between two summaries than it has free slots, while others have
// free ones.
func TestChooseCountsWhatWasSent(t *testing.T) {
	table := anvilroute.New("self", "d1", "r1", 1)
	table.Put(peer("large", "d1", "r1", 30), 0)
	table.Put(peer("small", "d1", "r1", 10), 0)
	sent := map[string]int{}
	for range 40 {
		instance, _ := table.Choose("p", "t", anvilsize.New(1, 1, 0), nil, 0)
		sent[instance]++
	}
	if sent["large"] != 30 || sent["small"] != 10 {
		t.Errorf("sent %v, want 30 and 10", sent)
	}
	t.Run("removed instances", func(t *testing.T) {
		table.Remove("large")
		table.Remove("small")
		if table.KnowsPool("p") {
			t.Error("the pool of removed instances is still known")
		}
	})
}
