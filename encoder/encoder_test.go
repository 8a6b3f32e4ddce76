package encoder_test

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/encoder"
)

func TestEncoder(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "encoder")
}

var _ = Describe("ParseChat", func() {
	// Guards against a body whose other fields change on the way to the engine.
	DescribeTable("changes the model only",
		func(body, want string) {
			q, err := encoder.ParseChat([]byte(body))
			Expect(err).NotTo(HaveOccurred())
			Expect(string(q.WithModel("a/v1"))).To(Equal(want))
		},
		Entry("when the body names a model", `{"model": "a" , "messages":[{"content":"x"}],"seed":1}`, `{"model": "a/v1" , "messages":[{"content":"x"}],"seed":1}`),
		Entry("when the body names none", `{ "messages":[{}]}`, `{"model":"a/v1", "messages":[{}]}`),
		Entry("when nested values have a model key", `{"messages":[{"model":"z"}],"x":{"model":1}}`, `{"model":"a/v1","messages":[{"model":"z"}],"x":{"model":1}}`),
	)

	It("parses the fields that routing needs", func() {
		q, err := encoder.ParseChat([]byte(`{"model":"m","stream":true,"max_tokens":7,
			"messages":[{"role":"user","content":"ab"},{"content":[{"type":"text","text":"c\n"},{"type":"image"}]},{"content":null}]}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(q.Model).To(Equal("m"))
		Expect(q.Stream).To(BeTrue())
		Expect(q.MaxTokens).To(Equal(int64(7)))
		Expect(string(q.Prompt)).To(Equal("abc\n"))
	})

	// Guards against an invalid body reaching an engine, and against the router
	// and the engine reading different models from one body.
	DescribeTable("rejects", func(body string) {
		_, err := encoder.ParseChat([]byte(body))
		var be *encoder.BodyError
		Expect(errors.As(err, &be)).To(BeTrue(), "%v", err)
	},
		Entry("an empty body", ``), Entry("an array", `[]`), Entry("a truncated object", `{"messages":[{}]`),
		Entry("data after the object", `{"messages":[{}]}{}`), Entry("missing messages", `{"model":"m"}`),
		Entry("an empty list of messages", `{"messages":[]}`), Entry("messages of another type", `{"messages":"x"}`),
		Entry("a repeated model", `{"model":"a","model":"b","messages":[{}]}`),
		Entry("a repeated model spelled with an escape", `{"model":"a","mode\u006c":"b","messages":[{}]}`),
		Entry("a model in another case", `{"model":"a","Model":"b","messages":[{}]}`),
		Entry("a stream key with a letter that folds to s", `{"ſtream":true,"messages":[{}]}`),
		Entry("a model of another type", `{"model":1,"messages":[{}]}`),
		Entry("a stream of another type", `{"stream":"yes","messages":[{}]}`),
		Entry("a negative max_tokens", `{"max_tokens":-1,"messages":[{}]}`),
		Entry("deep nesting", `{"messages":[{}],"x":`+strings.Repeat("[", 100)+strings.Repeat("]", 100)+`}`),
	)
})

var _ = Describe("EventReader", func() {
	readEvents := func(s string, limit int) (out []string, err error) {
		r := encoder.NewEventReader(strings.NewReader(s), limit)
		for {
			b, err := r.Next()
			if err != nil {
				return out, err
			}
			out = append(out, string(b))
		}
	}
	DescribeTable("reads the data of", func(s string, want []string, end error) {
		got, err := readEvents(s, 100)
		Expect(got).To(Equal(want))
		Expect(errors.Is(err, end)).To(BeTrue(), "%v", err)
	},
		Entry("events", "data: a\n\ndata:b\n\n", []string{"a", "b"}, io.EOF),
		Entry("lines ending in CRLF", "data: a\r\n\r\n", []string{"a"}, io.EOF),
		Entry("events of several lines", "data: a\ndata: b\n\n", []string{"a\nb"}, io.EOF),
		Entry("a stream with comments and other fields", ": ping\n\nevent: x\nid: 3\ndata: a\n\n", []string{"a"}, io.EOF),
		// Guards against a truncated event being taken for a complete one.
		Entry("a stream that ends within an event", "data: a\n\ndata: b\n", []string{"a"}, io.ErrUnexpectedEOF),
		Entry("a stream that ends within a line", "data: a\n\ndata: b", []string{"a"}, io.ErrUnexpectedEOF),
	)

	// Guards against an upstream that makes the router buffer unlimited data.
	DescribeTable("rejects an event above the size limit", func(s string) {
		_, err := readEvents(s, 10)
		var le *encoder.EventTooLargeError
		Expect(errors.As(err, &le)).To(BeTrue(), "%v", err)
	},
		Entry("in one line", "data: 12345678901\n\n"),
		Entry("in several lines", strings.Repeat("data: 1234\n", 4)+"\n"),
		Entry("in a line longer than the read buffer", "data: "+strings.Repeat("x", 10000)+"\n\n"),
		Entry("in a comment longer than the read buffer", ": "+strings.Repeat("x", 10000)+"\n\n"),
	)

	// Guards against data with line breaks, of any kind and mix, ending the
	// event early.
	It("reads the data that AppendEvent wrote", func() {
		const seed = 11
		rng := rand.New(rand.NewPCG(seed, seed))
		for range 2000 {
			var data []byte
			for range rng.IntN(12) {
				data = append(data, "ab \r\n:"[rng.IntN(6)])
			}
			got, err := readEvents(string(encoder.AppendEvent(nil, data)), 1000)
			Expect(err).To(Equal(io.EOF))
			want := strings.ReplaceAll(strings.ReplaceAll(string(data), "\r\n", "\n"), "\r", "\n")
			Expect(got).To(Equal([]string{want}), "%q", data)
		}
	})
})

func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"a","stream":true,"messages":[{"role":"user","content":"x"}]}`))
	f.Add([]byte(`{"messages":[{"content":[{"text":"x"}]}],"max_tokens":3}`))
	f.Add([]byte(`{"model":"a","model":"b","messages":[{}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		q, err := encoder.ParseChat(bytes.Clone(b))
		if err != nil {
			return
		}
		// The body for the engine must have the chosen model and all other
		// fields unchanged.
		var before, after map[string]json.RawMessage
		if err := json.Unmarshal(b, &before); err != nil {
			t.Fatalf("ParseChat accepted invalid JSON %q: %v", b, err)
		}
		if err := json.Unmarshal(q.WithModel("m/v"), &after); err != nil {
			t.Fatalf("after WithModel, %q became invalid JSON %q: %v", b, q.WithModel("m/v"), err)
		}
		if string(after["model"]) != `"m/v"` {
			t.Fatalf("after WithModel, the model of %q is %s", b, after["model"])
		}
		delete(before, "model")
		delete(after, "model")
		if len(before) != len(after) {
			t.Fatalf("after WithModel, %q has %d fields, not %d", b, len(after), len(before))
		}
		for k, v := range before {
			if !bytes.Equal(v, after[k]) {
				t.Fatalf("field %q changed from %s to %s", k, v, after[k])
			}
		}
	})
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte("data: a\n\ndata: [DONE]\n\n"))
	f.Add([]byte(": x\r\ndata:\r\n\r\n"))
	f.Add([]byte("data: a\rdata: b\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := encoder.NewEventReader(bytes.NewReader(b), 64)
		for {
			data, err := r.Next()
			if err != nil {
				return
			}
			if len(data) > 64 {
				t.Fatalf("event of %d bytes exceeds the limit", len(data))
			}
			again, err := encoder.NewEventReader(bytes.NewReader(encoder.AppendEvent(nil, data)), 256).Next()
			if err != nil || string(again) != strings.ReplaceAll(string(data), "\r", "\n") {
				t.Fatalf("event data %q, written and read again, became %q, %v", data, again, err)
			}
		}
	})
}

func FuzzParseChatResponse(f *testing.F) {
	f.Add([]byte(`{"requestId":"a","choices":[{"delta":{"content":"x"}}],"usage":{"prompt_tokens":1}}`))
	f.Add([]byte(`{"choices":[{"message":{"content":null,"tool_calls":[{}]}}]}`))
	f.Fuzz(func(_ *testing.T, b []byte) {
		if a, err := encoder.ParseChatResponse(b); err == nil {
			a.HasTokens()
			a.Text()
		}
	})
}
