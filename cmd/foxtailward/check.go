package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"foxtailward.example/foxtailward/internal/state/conffile"
	"foxtailward.example/foxtailward/internal/state/fault"
)

const usageCheck = `Check files without applying them: contracts, the deployment's configuration, and
the settings of entry, target and direct entry processes. Each fault names the file, the line,
the key and what was expected. The form is told by the keys, or by --as.`

// checked is what a file was found to be.
type checked struct {
	File string            `json:"file"`
	Form conffile.FileType `json:"form"`
	// Problem is empty for a file in order.
	Problem string `json:"problem,omitempty"`
}

func newCheck(o *cli) *cobra.Command {
	var as string
	cmd := &cobra.Command{
		Use:   "check FILE…",
		Short: "Check files without applying them",
		Long:  usageCheck,
		Args:  args(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, files []string) error {
			form := conffile.FileType(as)
			if as != "" && !form.Valid() {
				return fault.New("check", usage, "--as is %q, want contract, config, entry, target or direct", as)
			}
			results := make([]checked, 0, len(files))
			var problems []error
			for _, file := range files {
				result, err := checkFile(cmd, file, form)
				results = append(results, result)
				problems = append(problems, err)
			}
			if err := o.print(cmd.OutOrStdout(), results, checkTable(results)); err != nil {
				return err
			}
			return errors.Join(problems...)
		},
	}
	cmd.Flags().StringVar(&as, "as", "", "form of the files: contract, config, entry, target or direct")
	return cmd
}

func checkFile(cmd *cobra.Command, file string, form conffile.FileType) (checked, error) {
	data, err := readFile(cmd, file)
	if err != nil {
		return checked{File: file, Problem: message(err)}, err
	}
	if form == "" {
		form = conffile.DetectFileType(data)
	}
	result := checked{File: file, Form: form}
	if err = conffile.CheckAs(form, file, data); err != nil {
		result.Problem = message(err)
	}
	return result, err
}

// checkTable lists the files in order; the others are in the error.
func checkTable(results []checked) func(io.Writer) {
	return func(w io.Writer) {
		for _, r := range results {
			if r.Problem == "" {
				fmt.Fprintf(w, "%s\t%s\tin order\n", r.File, r.Form)
			}
		}
	}
}
