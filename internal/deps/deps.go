//go:build deps

// Package deps keeps the modules that the branches of the first session share
// in go.mod.
package deps

import (
	_ "github.com/BurntSushi/toml"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/go-chi/chi/v5"
	_ "github.com/go-kit/log"
	_ "github.com/jonboulle/clockwork"
	_ "github.com/matryer/is"
	_ "github.com/openai/openai-go/v3"
	_ "github.com/rcrowley/go-metrics"
	_ "github.com/rotisserie/eris"
	_ "github.com/spf13/cobra"
	_ "go.uber.org/goleak"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg"
	_ "google.golang.org/grpc"
	_ "google.golang.org/protobuf/proto"
	_ "pgregory.net/rapid"
)
