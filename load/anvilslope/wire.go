package anvilslope

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"anvilhold.org/entry/anvilcodec"
	"anvilhold.org/lib/anvilrow"
	"anvilhold.org/lib/anvilshard"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
	"anvilhold.org/lib/anvilwire"
)

// encodingCount is the number of encodings, and of decodings, over which a value is averaged.
const encodingCount = 200

const (
	sampleID   = "0190a000-0000-7000-8000-000000000000"
	sampleAddr = "10.20.30.40:7100"
)

// sample is a kind of message that is measured at several sizes.
type sample struct {
	role  string
	name  string
	per   string
	sizes []int
	make  func(n int) (proto.Message, error)
}

func samples(seed uint64) []sample {
	row := func(r anvilrow.Row) (proto.Message, error) { return anvilcodec.Row(r) }
	return []sample{
		{"table", "session-row", "version", []int{1, 1000, 1_000_000}, func(n int) (proto.Message, error) {
			return row(storedRow(anvilrow.SessionPrefix+"entry-1-01234567", anvilrow.NewSession(
				anvilshard.NewSession("entry-1-01234567", sampleAddr, "d01", selfRegion, int64(n), int64(n), false))))
		}},
		{"table", "shard-row", "member", []int{0, 12, 48, 117}, func(n int) (proto.Message, error) {
			return row(storedRow(anvilrow.ShardPrefix+"d01.layout.0", anvilrow.NewShard(sampleShard(n))))
		}},
		{"table", "escrow-row", "part", []int{8, 48, 120}, func(n int) (proto.Message, error) {
			return row(storedRow(anvilrow.EscrowPrefix+teamName(0), anvilrow.NewEscrow(teamName(0), sampleEscrow(n))))
		}},
		{"table", "task-row", "body-byte", []int{0, 200, 2000}, func(n int) (proto.Message, error) {
			t := sampleTask(n)
			return row(storedRow(anvilrow.TaskPrefix+t.Shard()+"/"+t.ID(), anvilrow.NewTask(t, anvilrow.Accepted, "", 1_700_000_000_000, "")))
		}},
		{"worker", "fence-request", "epoch", []int{1, 100, 10_000}, func(n int) (proto.Message, error) {
			return anvilwire.Fence_builder{Shard: "d01.layout.0", Epoch: int64(n), Holder: "entry-1-01234567", Lease: 8000, Cursor: int64(n)}.Build(), nil
		}},
		{"worker", "fence-reply", "task", []int{0, 18, 72, 288}, func(n int) (proto.Message, error) { return fenceReply(seed, n), nil }},
		{"worker", "fence-reply", "ended", []int{0, 18, 72}, func(n int) (proto.Message, error) { return endedReply(n), nil }},
		{"worker", "start", "body-byte", []int{0, 200, 2000}, func(n int) (proto.Message, error) {
			t := sampleTask(n)
			return anvilwire.Start_builder{Shard: t.Shard(), Epoch: 7, Id: t.ID() + "/7.123456", Team: t.Team(), Kind: "call",
				Size: anvilcodec.Size(t.Size()), Body: t.Body(), Job: t.ID()}.Build(), nil
		}},
		{"worker", "started", "answer-byte", []int{0, 200, 2000}, func(n int) (proto.Message, error) {
			return anvilwire.Started_builder{State: "done", Answer: make([]byte, n)}.Build(), nil
		}},
	}
}

func storedRow(key string, v anvilrow.Value) anvilrow.Row {
	return anvilrow.Read(key, v, 123_456_789, sampleID, false)
}

func sampleShard(n int) anvilshard.Shard {
	var members []anvilshard.Member
	for i := range n {
		id := fmt.Sprintf("worker-%05d", i)
		members = append(members, anvilshard.NewMember(id, sampleAddr, bootID(id), workerSize))
	}
	s := anvilshard.NewShard("d01.layout.0", "d01", selfRegion, "layout", 1_700_000_000_000)
	return s.WithMembers(members, 1_700_000_000_000).WithOwner("entry-1-01234567", 7, 1)
}

func sampleEscrow(n int) map[string]anvilsize.Size {
	allocations := make(map[string]anvilsize.Size, n)
	for i := range n {
		allocations[fmt.Sprintf("d%02d.layout.%d", i/4, i%4)] = anvilsize.New(128_000, 262_144, 16)
	}
	return allocations
}

func sampleTask(body int) *anviltask.Task {
	return anviltask.New(sampleID, anviltask.Batch, "layout", anviltask.WithTeam(teamName(0), "main"),
		anviltask.WithShard("d01.layout.0"), anviltask.WithSize(anvilsize.New(500, 256, 0)), anviltask.WithRunTime(60_000),
		anviltask.WithBody(make([]byte, body)))
}

// fenceReply returns the reply to a fence of a worker that runs n tasks.
func fenceReply(seed uint64, n int) *anvilwire.Fenced {
	var tasks []*anvilwire.Running
	for i := range n {
		size := anvilcodec.Size(anvilsize.New(100+int64((seed+uint64(i))%200), 64, 0))
		tasks = append(tasks, anvilwire.Running_builder{Id: sampleID + "/7.123456", Team: teamName(i % 140), Kind: "batch",
			Size: size, Use: size, State: "running", Epoch: 7, Job: sampleID}.Build())
	}
	return anvilwire.Fenced_builder{Ok: true, Epoch: 7, Worker: "worker-00001", Boot: bootID("worker-00001"),
		Size: anvilcodec.Size(workerSize), Tasks: tasks, Cursor: 1000}.Build()
}

// endedReply returns the reply to a fence of a worker at which n service requests have ended since the last renewal.
func endedReply(n int) *anvilwire.Fenced {
	var ended []*anvilwire.Ended
	for range n {
		ended = append(ended, anvilwire.Ended_builder{Id: sampleID + "/7.123456", State: "done", Age: 500,
			Answer: make([]byte, answerSize), Job: sampleID, Team: teamName(0)}.Build())
	}
	return anvilwire.Fenced_builder{Ok: true, Epoch: 7, Worker: "worker-00001", Boot: bootID("worker-00001"),
		Size: anvilcodec.Size(workerSize), Ended: ended, Cursor: 1000}.Build()
}

// Wire adds to out the size of messages as JSON, which is sent over HTTP, and in the binary encoding of protobuf, and the
// processor time of encoding and decoding the JSON.
func Wire(_ context.Context, seed uint64, out *Report) error {
	for _, s := range samples(seed) {
		text := out.AddSeries(s.role, s.name+"-json", s.per, "bytes")
		binary := out.AddSeries(s.role, s.name+"-binary", s.per, "bytes")
		write := out.AddSeries(s.role, s.name+"-marshal", s.per, "us")
		parse := out.AddSeries(s.role, s.name+"-parse", s.per, "us")
		for _, n := range s.sizes {
			m, err := s.make(n)
			if err != nil {
				return err
			}
			b, err := protojson.Marshal(m)
			if err != nil {
				return err
			}
			text.Add(float64(n), float64(len(b)))
			binary.Add(float64(n), float64(proto.Size(m)))
			used, err := timePerCall(func() error { _, err := protojson.Marshal(m); return err })
			if err != nil {
				return err
			}
			write.Add(float64(n), used)
			if used, err = timePerCall(func() error { return protojson.Unmarshal(b, m.ProtoReflect().New().Interface()) }); err != nil {
				return err
			}
			parse.Add(float64(n), used)
		}
	}
	return nil
}

// timePerCall returns the processor time of a call of f in µs, averaged over encodingCount calls. It includes their garbage
// collection.
func timePerCall(f func() error) (float64, error) {
	before, err := processTime()
	if err != nil {
		return 0, err
	}
	for range encodingCount {
		if err := f(); err != nil {
			return 0, err
		}
	}
	after, err := processTime()
	if err != nil {
		return 0, err
	}
	return micros(after-before) / encodingCount, nil
}
