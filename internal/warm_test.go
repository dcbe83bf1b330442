package internal

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/coder/websocket"
	_ "github.com/go-kit/log"
	_ "github.com/google/go-cmp/cmp"
	_ "github.com/google/uuid"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/rogpeppe/go-internal/txtar"
	_ "github.com/schollz/progressbar/v3"
	_ "github.com/sebdah/goldie/v2"
	_ "github.com/spf13/cobra"
	_ "go.yaml.in/yaml/v3"
	_ "golang.org/x/net/http2"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/term"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "pgregory.net/rapid"
)
