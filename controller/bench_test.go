package controller_test

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/google/uuid"

	"foxtailwall/biller"
	"foxtailwall/claimer"
	"foxtailwall/controller"
	"foxtailwall/declarer"
	"foxtailwall/pinner"
)

// claimKey returns a distinct idempotency key for each n, with epoch as its
// timestamp.
func claimKey(n int) claimer.Key {
	var u uuid.UUID
	ms := epoch.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (8 * (5 - i)))
	}
	u[6], u[8] = 0x70, 0x80
	binary.BigEndian.PutUint32(u[12:], uint32(n))
	return claimer.Key{Workspace: "w", Service: "s", Key: u.String()}
}

// benchConfig returns a configuration of five times the size of the present
// deployments. Configurations for different n differ in all workspaces.
func benchConfig(n int) declarer.Config {
	c := declarer.Config{Models: []declarer.Model{model("m", "a", "v1", "v1", "v2")}}
	for i := range 10 {
		c.Workspaces = append(c.Workspaces, workspace(strconv.Itoa(i), "a", strconv.Itoa(n)))
	}
	for i := range 100 {
		c.Upstreams = append(c.Upstreams, declarer.Upstream{Name: strconv.Itoa(i), Intent: declarer.Intent{Owner: "a"}, Slots: 8})
	}
	return c
}

func encodeCommand(b *testing.B, items ...controller.Item) []byte {
	cmd, err := controller.Encode(controller.Command{At: epoch, Items: items})
	if err != nil {
		b.Fatal(err)
	}
	return cmd
}

func BenchmarkApply(b *testing.B) {
	items := map[string]func(n int) controller.Item{
		"claim": func(n int) controller.Item {
			return controller.Item{Claim: &claimer.Request{Key: claimKey(n), RequestID: strconv.Itoa(n)}}
		},
		"finish": func(n int) controller.Item {
			return controller.Item{Finish: &controller.Finish{Key: claimKey(n), RequestID: strconv.Itoa(n), Response: claimer.Response{Status: 200}}}
		},
		"pin": func(n int) controller.Item {
			return controller.Item{Pin: &pinner.Pin{Workspace: "w", Session: strconv.Itoa(n), Model: "m", Version: "v1"}}
		},
		"bill": func(n int) controller.Item {
			return controller.Item{Bill: &controller.Bill{Records: []biller.Record{{ID: strconv.Itoa(n), Workspace: "w", Member: "m", At: epoch}}}}
		},
		"own": func(n int) controller.Item {
			return controller.Item{Own: &controller.OwnRequest{Engine: strconv.Itoa(n % 1500), Owner: "h"}}
		},
		"quarantine": func(n int) controller.Item {
			return controller.Item{Quarantine: &controller.Quarantine{Ref: declarer.VersionRef{Model: "m", Version: "v2"}, Return: n%2 == 1}}
		},
	}
	for _, kind := range []string{"claim", "finish", "pin", "bill", "own", "quarantine"} {
		b.Run(kind, func(b *testing.B) {
			m := controller.New(nil)
			m.Apply(1, encodeCommand(b, controller.Item{Apply: newApply("a", "0", 0, benchConfig(0))}))
			cmds := make([][]byte, b.N)
			for i := range cmds {
				cmds[i] = encodeCommand(b, items[kind](i))
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i, cmd := range cmds {
				m.Apply(uint64(i+2), cmd)
			}
		})
	}
	b.Run("batch of 256 claims", func(b *testing.B) {
		m := controller.New(nil)
		cmds := make([][]byte, b.N)
		for i := range cmds {
			batch := make([]controller.Item, 256)
			for j := range batch {
				batch[j] = items["claim"](i*256 + j)
			}
			cmds[i] = encodeCommand(b, batch...)
		}
		b.ReportAllocs()
		b.ResetTimer()
		for i, cmd := range cmds {
			m.Apply(uint64(i+2), cmd)
		}
	})
	b.Run("apply of 111 declarations", func(b *testing.B) {
		m := controller.New(nil)
		cmds := make([][]byte, b.N)
		for i := range cmds {
			cmds[i] = encodeCommand(b, controller.Item{Apply: newApply("a", strconv.Itoa(i), uint64(i), benchConfig(i))})
		}
		b.ReportAllocs()
		b.ResetTimer()
		for i, cmd := range cmds {
			m.Apply(uint64(i+1), cmd)
		}
	})
}

// BenchmarkSnapshot measures a machine with a history of 10,000 changes and
// 100,000 finished claims.
func BenchmarkSnapshot(b *testing.B) {
	m := controller.New(nil)
	for i := range 10_000 {
		c := declarer.Config{Workspaces: []declarer.Workspace{workspace("w", "a", fmt.Sprint(i))}}
		m.Apply(uint64(i+1), encodeCommand(b, controller.Item{Apply: newApply("a", strconv.Itoa(i), uint64(i), c)}))
	}
	for i := range 100_000 {
		id := strconv.Itoa(i)
		m.Apply(uint64(10_001+i), encodeCommand(b,
			controller.Item{Claim: &claimer.Request{Key: claimKey(i), RequestID: id, Timeout: time.Minute}},
			controller.Item{Finish: &controller.Finish{Key: claimKey(i), RequestID: id, Response: claimer.Response{Status: 201, Body: make([]byte, 100)}}}))
	}
	snap, err := m.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	b.Run("freeze", func(b *testing.B) {
		for b.Loop() {
			m.Freeze()
		}
	})
	b.Run("write", func(b *testing.B) {
		b.SetBytes(int64(len(snap)))
		for b.Loop() {
			if _, err := m.Snapshot(); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("restore", func(b *testing.B) {
		b.SetBytes(int64(len(snap)))
		for b.Loop() {
			if err := controller.New(nil).Restore(snap); err != nil {
				b.Fatal(err)
			}
		}
	})
}
