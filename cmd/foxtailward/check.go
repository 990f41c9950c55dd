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
the settings of entry, target and direct entry processes. Each error names the file, the line,
the key and the expected value. The type of a file is detected from its keys, unless --as
gives it.`

// checkResult is the result of checking one file.
type checkResult struct {
	File     string            `json:"file"`
	FileType conffile.FileType `json:"form"`
	// Problem is empty if the file is valid.
	Problem string `json:"problem,omitempty"`
}

func newCheck(o *cli) *cobra.Command {
	var as string
	cmd := &cobra.Command{
		Use:   "check FILE…",
		Short: "Check files without applying them",
		Long:  usageCheck,
		Args:  checkArgs(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, files []string) error {
			fileType := conffile.FileType(as)
			if as != "" && !fileType.Valid() {
				return fault.New("check", usage, "--as is %q, want contract, config, entry, target or direct", as)
			}
			results := make([]checkResult, 0, len(files))
			var problems []error
			for _, file := range files {
				result, err := checkFile(cmd, file, fileType)
				results = append(results, result)
				problems = append(problems, err)
			}
			if err := o.print(cmd.OutOrStdout(), results, checkTable(results)); err != nil {
				return err
			}
			return errors.Join(problems...)
		},
	}
	cmd.Flags().StringVar(&as, "as", "", "type of the files: contract, config, entry, target or direct")
	return cmd
}

func checkFile(cmd *cobra.Command, file string, fileType conffile.FileType) (checkResult, error) {
	data, err := readFile(cmd, file)
	if err != nil {
		return checkResult{File: file, Problem: message(err)}, err
	}
	if fileType == "" {
		fileType = conffile.DetectFileType(data)
	}
	result := checkResult{File: file, FileType: fileType}
	if err = conffile.CheckAs(fileType, file, data); err != nil {
		result.Problem = message(err)
	}
	return result, err
}

// checkTable lists the valid files. The errors of the others are returned by the
// command.
func checkTable(results []checkResult) func(io.Writer) {
	return func(w io.Writer) {
		for _, r := range results {
			if r.Problem == "" {
				fmt.Fprintf(w, "%s\t%s\tin order\n", r.File, r.FileType)
			}
		}
	}
}
