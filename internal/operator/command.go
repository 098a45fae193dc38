package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"gypsumvale/internal/coordination/ticket"
	"gypsumvale/internal/settings"
	"gypsumvale/internal/state/catalog"
	"gypsumvale/internal/transport/admin"
)

// app holds the writer that commands print to.
type app struct{ out io.Writer }

// Command returns the command line of gypsumctl, which prints its results to out.
func Command(out io.Writer) *cli.Command {
	a := &app{out: out}
	return &cli.Command{
		Name:  "gypsumctl",
		Usage: "configure gypsumvale with tickets and show its state",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Sources: cli.EnvVars("GYPSUM_ADDRESS"),
				Usage: "IP address and port of any entry instance's operator API"},
			&cli.StringFlag{Name: "token", Sources: cli.EnvVars("GYPSUM_TOKEN"), Usage: "operator's token"},
			&cli.StringFlag{Name: "ca", Sources: cli.EnvVars("GYPSUM_CA"), Usage: "file with the CA certificates; enables TLS"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON instead of a table"},
		},
		Commands: []*cli.Command{
			a.ticketCommand(), a.auditCommand(), a.stateCommand(), a.objectsCommand(), a.instancesCommand(),
			a.endpointsCommand(), a.storesCommand(), a.checkCommand(), a.digestCommand(), a.settingsCommand(),
			a.evacuationsCommand(),
		},
	}
}

func connect(cmd *cli.Command) (*client, error) {
	if cmd.String("address") == "" || cmd.String("token") == "" {
		return nil, &ExitError{ExitUsage, errors.New("--address and --token must be set")}
	}
	c, err := newClient(cmd.String("address"), cmd.String("token"), cmd.String("ca"))
	if err != nil {
		return nil, &ExitError{ExitUsage, err}
	}
	return c, nil
}

// output prints v as JSON if --json is set, and otherwise a table of the rows that the callback adds.
func (a *app) output(cmd *cli.Command, v any, header string, rows func(add func(cells ...any))) error {
	if cmd.Bool("json") {
		e := json.NewEncoder(a.out)
		e.SetIndent("", "  ")
		return errors.Wrap(e.Encode(v), "print")
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, header)
	rows(func(cells ...any) {
		for i, cell := range cells {
			if i > 0 {
				_, _ = fmt.Fprint(w, "\t")
			}
			_, _ = fmt.Fprint(w, cell)
		}
		_, _ = fmt.Fprintln(w)
	})
	return errors.Wrap(w.Flush(), "print")
}

func (a *app) ticketCommand() *cli.Command {
	return &cli.Command{
		Name:      "ticket",
		Usage:     "submit a ticket and wait until all instances have applied it",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "no-wait", Usage: "return once the ticket is accepted"},
			&cli.DurationFlag{Name: "timeout", Value: 30 * time.Second, Usage: "maximum time to wait"},
		},
		Action: a.submit,
	}
}

func (a *app) submit(ctx context.Context, cmd *cli.Command) error {
	c, err := connect(cmd)
	if err != nil {
		return err
	}
	if cmd.Args().Len() != 1 {
		return &ExitError{ExitUsage, errors.New("exactly one ticket file must be given")}
	}
	body, err := os.ReadFile(cmd.Args().First())
	if err != nil {
		return &ExitError{ExitUsage, fmt.Errorf("read ticket: %w", err)}
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	var answer admin.TicketAnswer
	if err := c.do(ctx, http.MethodPost, "/admin/v1/tickets", body, &answer); err != nil {
		return err
	}
	if err := a.output(cmd, answer, "TICKET\tREVISION\tRESULT", func(add func(...any)) {
		add(answer.Number, answer.Revision, answer.Result)
	}); err != nil {
		return err
	}
	if cmd.Bool("no-wait") {
		return nil
	}
	return a.wait(ctx, c, answer.Revision)
}

const waitPollInterval = 200 * time.Millisecond

// wait polls the instance list and prints how many instances have applied the revision, until all listed instances have.
func (a *app) wait(ctx context.Context, c *client, revision catalog.Revision) error {
	reported := -1
	for {
		var list []admin.Instance
		err := c.get(ctx, "/admin/v1/instances", &list)
		if ctx.Err() != nil {
			return &ExitError{ExitTimeout, errors.New("ticket accepted, but not in force on all instances before the timeout")}
		}
		if err != nil {
			return err
		}
		applied := countInForce(list, revision)
		if applied != reported {
			_, _ = fmt.Fprintf(a.out, "revision %d is in force on %d of %d instances\n", revision, applied, len(list))
			reported = applied
		}
		if applied == len(list) {
			return nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(waitPollInterval):
		}
	}
}

func countInForce(list []admin.Instance, revision catalog.Revision) int {
	applied := 0
	for _, in := range list {
		if in.Revision >= revision {
			applied++
		}
	}
	return applied
}

func (a *app) auditCommand() *cli.Command {
	return &cli.Command{
		Name:  "audit",
		Usage: "list accepted and rejected tickets, oldest first",
		Flags: []cli.Flag{&cli.IntFlag{Name: "limit", Value: 50}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			var records []ticket.Record
			if err := fetch(ctx, cmd, "/admin/v1/audit?limit="+strconv.Itoa(cmd.Int("limit")), &records); err != nil {
				return err
			}
			return a.output(cmd, records, "TIME\tOPERATOR\tTICKET\tDIGEST\tRESULT\tREVISION\tDETAIL", func(add func(...any)) {
				for _, r := range records {
					add(time.UnixMilli(r.UnixMilli).UTC().Format(time.RFC3339), r.Operator, r.Number, r.Digest, r.Result, r.Revision, r.Detail)
				}
			})
		},
	}
}

func fetch(ctx context.Context, cmd *cli.Command, path string, into any) error {
	c, err := connect(cmd)
	if err != nil {
		return err
	}
	return c.get(ctx, path, into)
}

func (a *app) stateCommand() *cli.Command {
	return &cli.Command{
		Name:  "state",
		Usage: "show the state of the instance at --address",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			var s admin.State
			if err := fetch(ctx, cmd, "/admin/v1/state", &s); err != nil {
				return err
			}
			return a.output(cmd, s, "NAME\tZONE\tREADY\tREVISION\tPOSSIBLY BEHIND\tPLATFORM DOWN\tIN FLIGHT\tMEMBERS", func(add func(...any)) {
				add(s.Name, s.Zone, s.Ready, s.Revision, s.PossiblyBehind, s.PlatformDown, s.InFlight, s.Members)
			})
		},
	}
}

func (a *app) objectsCommand() *cli.Command {
	return &cli.Command{
		Name:  "objects",
		Usage: "list configured objects",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "kind", Usage: "workspace, deployment, service, endpoint or store"},
			&cli.StringFlag{Name: "from", Usage: "kind/name to start from"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			query := url.Values{"kind": {cmd.String("kind")}, "from": {cmd.String("from")}}
			var list []catalog.Object
			if err := fetch(ctx, cmd, "/admin/v1/objects?"+query.Encode(), &list); err != nil {
				return err
			}
			return a.output(cmd, list, "OBJECT\tTICKET\tSTATE", func(add func(...any)) {
				for _, o := range list {
					add(o.ID, o.Ticket, string(o.State))
				}
			})
		},
	}
}

func (a *app) instancesCommand() *cli.Command {
	return &cli.Command{
		Name:  "instances",
		Usage: "list entry instances",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			var list []admin.Instance
			if err := fetch(ctx, cmd, "/admin/v1/instances", &list); err != nil {
				return err
			}
			return a.output(cmd, list, "NAME\tZONE\tADDRESS\tREVISION\tLEAVING", func(add func(...any)) {
				for _, in := range list {
					add(in.Name, in.Zone, in.Address, in.Revision, in.Leaving)
				}
			})
		},
	}
}

func (a *app) endpointsCommand() *cli.Command {
	return &cli.Command{
		Name:  "endpoints",
		Usage: "list endpoints",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			var list []admin.Endpoint
			if err := fetch(ctx, cmd, "/admin/v1/endpoints", &list); err != nil {
				return err
			}
			return a.output(cmd, list, "NAME\tZONE\tPOOL\tADDRESS\tSLOTS\tVERSION\tUSABLE\tLEAVING", func(add func(...any)) {
				for _, e := range list {
					add(e.Name, e.Zone, e.Pool, e.Address, e.Slots, e.Version, e.Usable, e.Leaving)
				}
			})
		},
	}
}

func (a *app) storesCommand() *cli.Command {
	return &cli.Command{
		Name:  "stores",
		Usage: "list cache stores and the instances that grant the bandwidth of their links",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			var list []admin.Store
			if err := fetch(ctx, cmd, "/admin/v1/stores", &list); err != nil {
				return err
			}
			return a.output(cmd, list, "NAME\tZONE\tADDRESS\tOWNER", func(add func(...any)) {
				for _, s := range list {
					add(s.Name, s.Zone, s.Address, s.Owner)
				}
			})
		},
	}
}

func (a *app) checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "validate a settings file of gypsum-entry",
		ArgsUsage: "FILE",
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 1 {
				return &ExitError{ExitUsage, errors.New("exactly one settings file must be given")}
			}
			if err := checkSettings(cmd.Args().First()); err != nil {
				return &ExitError{ExitRefused, err}
			}
			_, err := fmt.Fprintf(a.out, "%s: no faults\n", cmd.Args().First())
			return errors.Wrap(err, "print")
		},
	}
}

// checkSettings validates a settings file of either edge.
func checkSettings(path string) error {
	edge, err := settings.ReadEdge(path)
	if err != nil {
		return fmt.Errorf("check settings: %w", err)
	}
	if edge == settings.EdgeHosted {
		_, err = settings.ReadHosted(path)
	} else {
		_, err = settings.ReadEntry(path)
	}
	if err != nil {
		return fmt.Errorf("check settings: %w", err)
	}
	return nil
}

func (a *app) digestCommand() *cli.Command {
	return &cli.Command{
		Name:      "digest",
		Usage:     "read a key or token from standard input and print its digest, as used in settings and tickets",
		ArgsUsage: " ",
		Action: func(_ context.Context, _ *cli.Command) error {
			var key string
			if _, err := fmt.Fscanln(os.Stdin, &key); err != nil {
				return &ExitError{ExitUsage, fmt.Errorf("read key: %w", err)}
			}
			_, err := fmt.Fprintln(a.out, catalog.KeyDigest(key))
			return errors.Wrap(err, "print")
		},
	}
}
