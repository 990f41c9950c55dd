package openai

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Role says who wrote a message.
type Role string

// Roles of messages.
const (
	System    Role = "system"
	Developer Role = "developer"
	User      Role = "user"
	Assistant Role = "assistant"
)

// Valid reports whether r is a role that foxtailward passes on.
func (r Role) Valid() bool {
	switch r {
	case System, Developer, User, Assistant:
		return true
	}
	return false
}

// Message is one message of a chat.
type Message struct {
	Role    Role    `json:"role"`
	Content Content `json:"content"`
	Name    string  `json:"name,omitempty"`
}

// Messages is a chat so far.
type Messages []Message

// ContentBytes returns the length of all contents.
func (m Messages) ContentBytes() int {
	total := 0
	for i := range m {
		total += len(m[i].Content)
	}
	return total
}

func (m Messages) validate() *FieldError {
	if len(m) == 0 || len(m) > maxMessages {
		return invalid("messages", "holds %d messages; want 1 to %d", len(m), maxMessages)
	}
	for i := range m {
		if !m[i].Role.Valid() {
			return invalid(fmt.Sprintf("messages[%d].role", i),
				"is %q; want system, developer, user or assistant", m[i].Role)
		}
		if m[i].Content == "" {
			return invalid(fmt.Sprintf("messages[%d].content", i), "is missing or empty; want text")
		}
	}
	return nil
}

// Content is a message's text. Callers may send it as one string or as a list
// of text parts, which are joined.
type Content string

// contentPart is one part of a message's content.
type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON reads a string or a list of text parts.
func (c *Content) UnmarshalJSON(data []byte) error {
	if data[0] == '"' {
		return json.Unmarshal(data, (*string)(c))
	}
	var parts []contentPart
	if err := json.Unmarshal(data, &parts); err != nil {
		return invalid("messages.content", "is %s; want a string or a list of text parts", kindOfJSON(data))
	}
	var text strings.Builder
	for i := range parts {
		if parts[i].Type != "text" {
			return invalid("messages.content", "holds a part of type %q; want text", parts[i].Type)
		}
		text.WriteString(parts[i].Text)
	}
	*c = Content(text.String())
	return nil
}
