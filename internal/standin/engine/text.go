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

// DefaultLength lets every answer with a limit of at most 4,000 tokens end at its
// limit.
var DefaultLength = LengthRange{Min: 4_000, Max: 12_000}

// syllables are the parts of token texts. Each token consists of three.
var syllables = [...]string{
	"ba", "be", "bo", "da", "de", "do", "fa", "fe", "ga", "go", "ka", "ke", "ko", "la", "le", "lo",
	"ma", "me", "mo", "na", "ne", "no", "pa", "pe", "ra", "re", "ro", "sa", "se", "ta", "te", "to",
}

// vocabularySize is the number of distinct tokens.
const vocabularySize = len(syllables) * len(syllables) * len(syllables)

var tokenTexts = makeTokenTexts()

func makeTokenTexts() []string {
	out := make([]string, 0, vocabularySize)
	for _, a := range syllables {
		for _, b := range syllables {
			for _, c := range syllables {
				out = append(out, " "+a+b+c)
			}
		}
	}
	return out
}

// IsToken reports whether id is in the vocabulary.
func IsToken(id uint32) bool { return int(id) < vocabularySize }

// TokenText returns the text of a token. It panics if id is not in the vocabulary.
func TokenText(id uint32) string { return tokenTexts[id] }

// Generator generates one answer, token by token.
type Generator struct {
	state         uint64
	naturalLength int
}

// NewGenerator returns the generator of the answer to prompt.
func NewGenerator(model, version, adapter, prompt string, length LengthRange) Generator {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{model, version, adapter, prompt} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	state := d.Sum64()
	spread := uint64(length.Max - length.Min + 1)
	return Generator{state: state, naturalLength: length.Min + int((state>>32)%spread)}
}

// NaturalLength returns the answer's length in tokens if no limit applies.
func (g *Generator) NaturalLength() int { return g.naturalLength }

// Peek returns the next token.
func (g *Generator) Peek() uint32 { return uint32(g.state % uint64(vocabularySize)) }

// Append adds a token to the answer, which determines the next one.
func (g *Generator) Append(id uint32) {
	var b [12]byte
	binary.LittleEndian.PutUint64(b[:8], g.state)
	binary.LittleEndian.PutUint32(b[8:], id)
	g.state = xxhash.Sum64(b[:])
}

// Expect returns the exact answer to prompt by an engine with DefaultLength.
func Expect(model, version, adapter, prompt string, maxTokens int) []generation.Token {
	tokens, _ := ExpectWithLength(model, version, adapter, prompt, maxTokens, DefaultLength)
	return tokens
}

// ExpectWithLength is Expect for engines with another range of lengths. It also
// returns the finish reason.
func ExpectWithLength(model, version, adapter, prompt string, maxTokens int, length LengthRange) ([]generation.Token, generation.FinishReason) {
	g := NewGenerator(model, version, adapter, prompt, length)
	n, reason := g.answerLength(maxTokens)
	out := make([]generation.Token, n)
	for i := range out {
		id := g.Peek()
		g.Append(id)
		out[i] = generation.Token{ID: id, Text: TokenText(id)}
	}
	return out, reason
}

// answerLength returns the answer's length under a limit, including a prefix, and the
// finish reason.
func (g *Generator) answerLength(maxTokens int) (int, generation.FinishReason) {
	if g.naturalLength < maxTokens {
		return g.naturalLength, generation.Stop
	}
	return max(0, maxTokens), generation.Length
}

// Join returns the concatenated text of tokens.
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

// Flatten converts chat messages to a prompt with one line "role: content" for each
// message. The result does not depend on the formatting of the JSON.
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
