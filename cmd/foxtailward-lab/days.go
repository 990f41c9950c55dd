package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"foxtailward.example/foxtailward/internal/standin/days"
	"foxtailward.example/foxtailward/platform/bench"
)

const usageDays = `days draws days on which requests crash the targets that run them, beside other
disturbances, and writes them to a directory as files for the users' bench, one
for each seed:

  foxtailward-lab days --site kolay-okuma.toml --seeds 200 --out target/days
  fleetbench run kolay-okuma.toml target/days/17.toml --seed 17`

type daysFlags struct {
	site, out string
	seed      uint64
	seeds     int
}

func newDays() *cobra.Command {
	flags := &daysFlags{}
	cmd := &cobra.Command{
		Use:   "days",
		Short: "Draw days with requests that crash targets, for the users' bench",
		Long:  usageDays,
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return flags.run(cmd) },
	}
	f := cmd.Flags()
	f.StringVar(&flags.site, "site", "", "file that describes the installation")
	f.StringVar(&flags.out, "out", "", "directory of the files")
	f.Uint64Var(&flags.seed, "seed", 0, "first seed")
	f.IntVar(&flags.seeds, "seeds", 1, "number of seeds")
	return cmd
}

func (f *daysFlags) run(cmd *cobra.Command) error {
	if f.site == "" || f.out == "" || f.seeds < 1 {
		return usageError{fmt.Errorf("--site is %q, --out is %q and --seeds is %d, want a file, a directory and 1 or more", f.site, f.out, f.seeds)}
	}
	site, err := bench.ReadSite(f.site)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(f.out, 0o755); err != nil {
		return err
	}
	for i := range f.seeds {
		seed := f.seed + uint64(i)
		day, err := site.EncodeDay(days.Draw(site.Installation(), seed))
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(f.out, fmt.Sprintf("%d.toml", seed)), day, 0o644); err != nil {
			return err
		}
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%d days in %s\n", f.seeds, f.out)
	return nil
}
