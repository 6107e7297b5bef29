package ctl

import (
	"context"
	"io"
	"os"

	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/explain"
)

const explainUsage = `explain REQUEST-ID [LOG...]
  Tells a request's story from the logs of one or more gateways; without files from
  standard input.

  flamingowindctl explain 9c41d07be2a35f68 router-*.log
`

func (a *app) explainCommand() *command {
	return &command{app: a, name: "explain", synopsis: "tell a request's story from logs", usage: explainUsage, minArgs: 1, maxArgs: anyArgs,
		run: func(_ context.Context, args []string) error {
			logs, closeAll, err := openLogs(args[1:])
			if err != nil {
				return err
			}
			defer closeAll()
			story, err := explain.Read(args[0], logs...)
			if err != nil {
				return err
			}
			return story.Print(a.out)
		}}
}

func openLogs(names []string) (logs []io.Reader, closeAll func(), err error) {
	if len(names) == 0 {
		return []io.Reader{os.Stdin}, func() {}, nil
	}
	var files []*os.File
	closeAll = func() {
		for _, f := range files {
			_ = f.Close() // only read
		}
	}
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			closeAll()
			return nil, nil, errors.Annotate(err, "open a log")
		}
		files = append(files, f)
		logs = append(logs, f)
	}
	return logs, closeAll, nil
}
