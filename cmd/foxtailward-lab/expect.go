package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"foxtailward.example/foxtailward/internal/standin/engine"
)

const usageExpect = `expect prints the text that every correct answer of the stand-in engines to a
prompt must have, without a trailing newline, and nothing else. With --messages
it prints the answer to a chat, whose messages are given as JSON.`

type expectFlags struct {
	model, version, adapter string
	prompt, messages        string
	maxTokens               int
	length                  engine.LengthRange
}

func newExpect() *cobra.Command {
	flags := &expectFlags{}
	cmd := &cobra.Command{
		Use:   "expect",
		Short: "Print the expected text of an answer",
		Long:  usageExpect,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			text, err := flags.expectedText()
			if err != nil {
				return usageError{err}
			}
			_, err = fmt.Fprint(cmd.OutOrStdout(), text)
			return err
		},
	}
	f := cmd.Flags()
	f.StringVar(&flags.model, "model", "report", "model of the request")
	f.StringVar(&flags.version, "version", "v1", "version of the model")
	f.StringVar(&flags.adapter, "adapter", "", "adapter, if any")
	f.StringVar(&flags.prompt, "prompt", "", "prompt of a completion")
	f.StringVar(&flags.messages, "messages", "", "messages of a chat, as JSON")
	f.IntVar(&flags.maxTokens, "max-tokens", 100, "maximum length of the answer, in tokens")
	f.IntVar(&flags.length.Min, "length-min", engine.DefaultLength.Min, "minimum natural length of the engines' answers, in tokens")
	f.IntVar(&flags.length.Max, "length-max", engine.DefaultLength.Max, "maximum natural length of the engines' answers, in tokens")
	return cmd
}

func (f *expectFlags) expectedText() (string, error) {
	prompt := f.prompt
	switch {
	case (f.prompt == "") == (f.messages == ""):
		return "", errors.New("exactly one of --prompt and --messages is required")
	case f.maxTokens < 1:
		return "", fmt.Errorf("--max-tokens is %d, want at least 1", f.maxTokens)
	case f.length.Min < 1 || f.length.Max < f.length.Min:
		return "", errors.New("--length-min must be at least 1, and --length-max at least --length-min")
	}
	if f.messages != "" {
		flattened, err := engine.Flatten([]byte(f.messages))
		if err != nil {
			return "", err
		}
		prompt = flattened
	}
	tokens, _ := engine.ExpectWithLength(f.model, f.version, f.adapter, prompt, f.maxTokens, f.length)
	return engine.Join(tokens), nil
}
