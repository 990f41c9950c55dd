package engine

import (
	"encoding/binary"
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"

	"foxtailward.example/foxtailward/internal/state/fault"
	"foxtailward.example/foxtailward/internal/state/generation"
)

// LengthRange bounds the natural length of answers, in tokens.
type LengthRange struct {
	Min, Max int
}

// DefaultLength makes every answer of at most 4,000 tokens end by its limit.
var DefaultLength = LengthRange{Min: 4_000, Max: 12_000}

// syllables make the words; three of them are one token.
var syllables = [...]string{
	"ba", "be", "bo", "da", "de", "do", "fa", "fe", "ga", "go", "ka", "ke", "ko", "la", "le", "lo",
	"ma", "me", "mo", "na", "ne", "no", "pa", "pe", "ra", "re", "ro", "sa", "se", "ta", "te", "to",
}

// vocabulary is the number of different tokens.
const vocabulary = len(syllables) * len(syllables) * len(syllables)

var words = makeWords()

func makeWords() []string {
	out := make([]string, 0, vocabulary)
	for _, a := range syllables {
		for _, b := range syllables {
			for _, c := range syllables {
				out = append(out, " "+a+b+c)
			}
		}
	}
	return out
}

// IsToken reports whether id is a token of the vocabulary.
func IsToken(id uint32) bool { return int(id) < vocabulary }

// TokenText returns the text of a known token.
func TokenText(id uint32) string { return words[id] }

// Generator generates one answer, token by token.
type Generator struct {
	state   uint64
	natural int
}

// NewGenerator returns the generator of the answer to a prompt.
func NewGenerator(model, version, adapter, prompt string, length LengthRange) Generator {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{model, version, adapter, prompt} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	state := d.Sum64()
	spread := uint64(length.Max - length.Min + 1)
	return Generator{state: state, natural: length.Min + int((state>>32)%spread)}
}

// NaturalLength returns the answer's length, in tokens, when nothing limits it.
func (t *Generator) NaturalLength() int { return t.natural }

// Peek returns the next token.
func (t *Generator) Peek() uint32 { return uint32(t.state % uint64(vocabulary)) }

// Append makes id the token before the next one.
func (t *Generator) Append(id uint32) {
	var b [12]byte
	binary.LittleEndian.PutUint64(b[:8], t.state)
	binary.LittleEndian.PutUint32(b[8:], id)
	t.state = xxhash.Sum64(b[:])
}

// Expect returns the exact answer to a prompt, as engines with DefaultLength
// give it.
func Expect(model, version, adapter, prompt string, maxTokens int) []generation.Token {
	tokens, _ := ExpectWithLength(model, version, adapter, prompt, maxTokens, DefaultLength)
	return tokens
}

// ExpectWithLength is Expect for engines with another length; it returns the
// reason of the end as well.
func ExpectWithLength(model, version, adapter, prompt string, maxTokens int, length LengthRange) ([]generation.Token, generation.FinishReason) {
	text := NewGenerator(model, version, adapter, prompt, length)
	n, reason := text.end(maxTokens)
	out := make([]generation.Token, n)
	for i := range out {
		id := text.Peek()
		text.Append(id)
		out[i] = generation.Token{ID: id, Text: TokenText(id)}
	}
	return out, reason
}

// end returns the answer's whole length under a limit, and why it ends there.
func (t *Generator) end(maxTokens int) (int, generation.FinishReason) {
	if t.natural < maxTokens {
		return t.natural, generation.Stop
	}
	return max(0, maxTokens), generation.Length
}

// Join returns the text of tokens.
func Join(tokens []generation.Token) string {
	var b strings.Builder
	for _, t := range tokens {
		b.WriteString(t.Text)
	}
	return b.String()
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// Flatten returns the prompt that chat messages amount to: one line "role:
// content" for each. It does not depend on how the JSON is spaced.
func Flatten(messages json.RawMessage) (string, error) {
	const op = "engine.Flatten"
	var list []message
	if err := json.Unmarshal(messages, &list); err != nil {
		return "", fault.Wrap(op, Invalid, err)
	}
	var b strings.Builder
	for i, m := range list {
		content, err := m.text()
		if err != nil {
			return "", fault.New(op, Invalid, "messages[%d].content is neither a text nor a list of texts", i)
		}
		b.WriteString(m.Role + ": " + content + "\n")
	}
	return b.String(), nil
}

func (m *message) text() (string, error) {
	var plain string
	if len(m.Content) == 0 || json.Unmarshal(m.Content, &plain) == nil {
		return plain, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(m.Content, &parts); err != nil {
		return "", err
	}
	for _, p := range parts {
		plain += p.Text
	}
	return plain, nil
}
