package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"foxtailward.example/foxtailward/internal/standin/engine"
)

const usageExpect = `expect prints the exact text of the answer to a prompt, as every right answer of
the stand-in engines has it, and nothing else; the text has no line end of its
own. With --messages it is the answer to a chat, given as JSON.`

// expectFlags are the flags of expect.
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
		Short: "Print the exact text of an answer",
		Long:  usageExpect,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			text, err := flags.text()
			if err != nil {
				return usageError{err}
			}
			_, err = fmt.Fprint(cmd.OutOrStdout(), text)
			return err
		},
	}
	f := cmd.Flags()
	f.StringVar(&flags.model, "model", "report", "the model")
	f.StringVar(&flags.version, "version", "v1", "the model's version")
	f.StringVar(&flags.adapter, "adapter", "", "the adapter, if any")
	f.StringVar(&flags.prompt, "prompt", "", "the prompt of a completion")
	f.StringVar(&flags.messages, "messages", "", "the messages of a chat, as JSON")
	f.IntVar(&flags.maxTokens, "max-tokens", 100, "the longest answer, in tokens")
	f.IntVar(&flags.length.Min, "length-min", engine.DefaultLength.Min, "the engines' shortest natural answer")
	f.IntVar(&flags.length.Max, "length-max", engine.DefaultLength.Max, "the engines' longest natural answer")
	return cmd
}

func (f *expectFlags) text() (string, error) {
	prompt := f.prompt
	switch {
	case (f.prompt == "") == (f.messages == ""):
		return "", errors.New("either --prompt or --messages must be given")
	case f.maxTokens < 1:
		return "", fmt.Errorf("--max-tokens is %d, want at least 1", f.maxTokens)
	case f.length.Min < 1 || f.length.Max < f.length.Min:
		return "", errors.New("--length-min and --length-max must be at least 1 and rise")
	}
	if f.messages != "" {
		flat, err := engine.Flatten([]byte(f.messages))
		if err != nil {
			return "", err
		}
		prompt = flat
	}
	tokens, _ := engine.ExpectWithLength(f.model, f.version, f.adapter, prompt, f.maxTokens, f.length)
	return engine.Join(tokens), nil
}
