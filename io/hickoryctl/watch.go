package hickoryctl

import (
	"context"
	"io"
	"time"

	"github.com/urfave/cli/v3"
)

const intervalFlag = "interval"

func (t *Tool) watchCommand() *cli.Command {
	const defaultInterval = 2 * time.Second
	return &cli.Command{
		Name:  "watch",
		Usage: "repeat status until interrupted",
		Flags: []cli.Flag{
			instancesURLFlag(),
			&cli.DurationFlag{Name: intervalFlag, Usage: "wait `TIME` between two rounds", Value: defaultInterval},
			&cli.IntFlag{Name: "rounds", Usage: "stop after `N` rounds; 0 goes on"},
		},
		Action: t.watch,
	}
}

func (t *Tool) watch(ctx context.Context, command *cli.Command) error {
	ticker := time.NewTicker(command.Duration(intervalFlag))
	defer ticker.Stop()
	for round := 1; ; round++ {
		statuses, err := t.statuses(ctx, command)
		if err != nil {
			return err
		}
		if err := t.write(command, statuses, func(w io.Writer) { printStatuses(w, statuses) }); err != nil {
			return err
		}
		if round == command.Int("rounds") {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}
