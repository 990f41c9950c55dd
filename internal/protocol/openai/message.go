package openai

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Role is the role of a message's author.
type Role string

// Roles of messages.
const (
	System    Role = "system"
	Developer Role = "developer"
	User      Role = "user"
	Assistant Role = "assistant"
)

// Valid reports whether r is a role that foxtailward supports.
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

// Messages are the messages of a chat, oldest first.
type Messages []Message

// ContentBytes returns the total length of the messages' contents.
func (m Messages) ContentBytes() int {
	total := 0
	for i := range m {
		total += len(m[i].Content)
	}
	return total
}

func (m Messages) validate() *FieldError {
	if len(m) == 0 || len(m) > maxMessages {
		return newFieldError("messages", "holds %d messages; want 1 to %d", len(m), maxMessages)
	}
	for i := range m {
		if !m[i].Role.Valid() {
			return newFieldError(fmt.Sprintf("messages[%d].role", i),
				"is %q; want system, developer, user or assistant", m[i].Role)
		}
		if m[i].Content == "" {
			return newFieldError(fmt.Sprintf("messages[%d].content", i), "is missing or empty; want text")
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

// UnmarshalJSON decodes a string or a list of text parts.
func (c *Content) UnmarshalJSON(data []byte) error {
	if data[0] == '"' {
		return json.Unmarshal(data, (*string)(c))
	}
	var parts []contentPart
	if err := json.Unmarshal(data, &parts); err != nil {
		return newFieldError("messages.content", "is %s; want a string or a list of text parts", jsonTypeOf(data))
	}
	var text strings.Builder
	for i := range parts {
		if parts[i].Type != "text" {
			return newFieldError("messages.content", "holds a part of type %q; want text", parts[i].Type)
		}
		text.WriteString(parts[i].Text)
	}
	*c = Content(text.String())
	return nil
}
