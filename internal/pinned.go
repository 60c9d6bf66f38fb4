//go:build tools

package internal

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/go-playground/validator/v10"
	_ "github.com/google/go-cmp/cmp"
	_ "github.com/google/subcommands"
	_ "github.com/jedib0t/go-pretty/v6/table"
	_ "github.com/julienschmidt/httprouter"
	_ "github.com/knadh/koanf/providers/confmap"
	_ "github.com/knadh/koanf/providers/env"
	_ "github.com/knadh/koanf/providers/structs"
	_ "github.com/knadh/koanf/v2"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/rotisserie/eris"
	_ "github.com/sebdah/goldie/v2"
	_ "github.com/sourcegraph/conc"
	_ "go.uber.org/goleak"
	_ "go.uber.org/zap"
	_ "go.yaml.in/yaml/v3"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/gonum/stat"
	_ "gonum.org/v1/plot"
	_ "pgregory.net/rapid"
)
