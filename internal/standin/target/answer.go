package target

import (
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"strings"
)

// ChatRequest is the part of a chat completion request that the stand-in reads.
type ChatRequest struct {
	// Model is the name of the model.
	Model string `json:"model"`
	// Messages are the prompt.
	Messages []Message `json:"messages"`
	// Stream asks for server-sent events.
	Stream bool `json:"stream"`
	// MaxTokens is the exact length of the answer; 0 lets the text decide.
	MaxTokens int `json:"max_tokens"`
}

// Message is one message of a prompt.
type Message struct {
	// Role is system, user or assistant.
	Role string `json:"role"`
	// Content is the text.
	Content string `json:"content"`
}

// Usage counts the tokens of a request.
type Usage struct {
	// PromptTokens is the number of words in the prompt.
	PromptTokens int `json:"prompt_tokens"`
	// CompletionTokens is the number of words in the answer.
	CompletionTokens int `json:"completion_tokens"`
	// TotalTokens is the sum of both.
	TotalTokens int `json:"total_tokens"`
}

const (
	// MaxAnswerTokens is the longest answer.
	MaxAnswerTokens = 100_000
	// leastNatural and naturalSpread bound answers without a set length.
	leastNatural  = 8
	naturalSpread = 57
)

// vocabulary is what answers are made of; each word is one token.
var vocabulary = strings.Fields(`the crew meets at bridge north depot gate seven
	with gloves bags vests grabbers and cones before lane closure signal junction
	marshal rests after eight hours then swaps shift route plan follows river bank
	to school yard return kit by evening report damage label torn handle stock low`)

// Answer is the whole answer to a request: a function of the request, the
// request ID and the version alone, so that every byte of it can be checked.
type Answer struct {
	request   ChatRequest
	requestID string
	version   string
	words     []string
}

// NewAnswer returns the answer of a version to a request.
func NewAnswer(request ChatRequest, requestID, version string) *Answer {
	source := rand.New(rand.NewPCG(seedOf(request), 0))
	count := request.MaxTokens
	if count <= 0 {
		count = leastNatural + source.IntN(naturalSpread)
	}
	words := make([]string, min(count, MaxAnswerTokens))
	for i := range words {
		words[i] = vocabulary[source.IntN(len(vocabulary))]
	}
	return &Answer{request: request, requestID: requestID, version: version, words: words}
}

func seedOf(request ChatRequest) uint64 {
	h := fnv.New64a()
	// A hash takes everything.
	_, _ = h.Write([]byte(request.Model))
	for _, m := range request.Messages {
		_, _ = h.Write([]byte("\x00" + m.Role + "\x00" + m.Content))
	}
	return h.Sum64()
}

// Tokens returns the number of tokens in the answer.
func (a *Answer) Tokens() int { return len(a.words) }

// Text returns the answer's text.
func (a *Answer) Text() string { return strings.Join(a.words, " ") }

// Usage returns the tokens of the request.
func (a *Answer) Usage() Usage {
	prompt := 0
	for _, m := range a.request.Messages {
		prompt += len(strings.Fields(m.Content))
	}
	return Usage{PromptTokens: prompt, CompletionTokens: len(a.words), TotalTokens: prompt + len(a.words)}
}

// Event returns the server-sent event of token i.
func (a *Answer) Event(i int) []byte {
	word := a.words[i]
	if i > 0 {
		word = " " + word
	}
	b := a.begin("chat.completion.chunk", 192)
	b = append(b, `"choices":[{"index":0,"delta":{`...)
	if i == 0 {
		b = append(b, `"role":"assistant",`...)
	}
	b = append(b, `"content":`...)
	b = strconv.AppendQuote(b, word)
	return append(b, "},\"finish_reason\":null}]}\n\n"...)
}

// Last returns the events after the last token: the usage and [DONE].
func (a *Answer) Last() []byte {
	b := a.begin("chat.completion.chunk", 320)
	b = append(b, `"choices":[{"index":0,"delta":{},"finish_reason":"stop"}],`...)
	b = a.appendUsage(b)
	return append(b, "}\n\ndata: [DONE]\n\n"...)
}

// Stream returns the whole streamed answer.
func (a *Answer) Stream() []byte {
	var b []byte
	for i := range a.words {
		b = append(b, a.Event(i)...)
	}
	return append(b, a.Last()...)
}

// JSON returns the whole answer of a request that is not streamed.
func (a *Answer) JSON() []byte {
	b := a.begin("chat.completion", 256)[len("data: "):]
	b = append(b, `"choices":[{"index":0,"message":{"role":"assistant","content":`...)
	b = strconv.AppendQuote(b, a.Text())
	b = append(b, `},"finish_reason":"stop"}],`...)
	b = a.appendUsage(b)
	return append(b, "}\n"...)
}

func (a *Answer) begin(object string, size int) []byte {
	b := make([]byte, 0, size)
	b = append(b, `data: {"id":`...)
	b = strconv.AppendQuote(b, "chatcmpl-"+a.requestID)
	b = append(b, `,"object":"`+object+`","created":0,"model":`...)
	b = strconv.AppendQuote(b, a.request.Model)
	b = append(b, `,"system_fingerprint":`...)
	b = strconv.AppendQuote(b, a.version)
	return append(b, ',')
}

func (a *Answer) appendUsage(b []byte) []byte {
	u := a.Usage()
	b = append(b, `"usage":{"prompt_tokens":`...)
	b = strconv.AppendInt(b, int64(u.PromptTokens), 10)
	b = append(b, `,"completion_tokens":`...)
	b = strconv.AppendInt(b, int64(u.CompletionTokens), 10)
	b = append(b, `,"total_tokens":`...)
	b = strconv.AppendInt(b, int64(u.TotalTokens), 10)
	return append(b, '}')
}
