// This file defines the domain commands.

package cmds

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/grpc"

	"sycamoredeck.example/internal/schema/wire"
)

func (p *program) domainCommand() *cobra.Command {
	c := &cobra.Command{Use: "domain", Short: "Failure domains"}
	c.AddCommand(p.domainList(),
		p.domainDrain("drain DOMAIN", "Give a failure domain no new work; what runs there goes on", false),
		p.domainDrain("restore DOMAIN", "Give a drained failure domain work again", true))
	return c
}

func (p *program) domainList() *cobra.Command {
	c := &cobra.Command{Use: "list", Short: "List the failure domains that have agents or are drained", Args: cobra.NoArgs}
	return p.clientCommand(c, func(ctx context.Context, cl *client, conn *grpc.ClientConn, _ []string) error {
		r, err := wire.NewWorkServiceClient(conn).ListDomains(ctx, &wire.ListDomainsRequest{})
		if err != nil {
			return err
		}
		return cl.print(r, func(w io.Writer) {
			fmt.Fprintln(w, "FAILURE DOMAIN\tAGENTS\tRUNS\tDRAINED SINCE")
			for _, d := range r.Domains {
				since := "-"
				if d.DrainedSince != nil {
					since = d.DrainedSince.AsTime().Format(time.RFC3339)
				}
				fmt.Fprintf(w, "%s\t%d\t%d\t%s\n", d.FailureDomain, d.Agents, d.Runs, since)
			}
		})
	})
}

func (p *program) domainDrain(use, short string, restore bool) *cobra.Command {
	c := &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(1)}
	return p.clientCommand(c, func(ctx context.Context, cl *client, conn *grpc.ClientConn, args []string) error {
		r, err := wire.NewWorkServiceClient(conn).DrainDomain(ctx, &wire.DrainDomainRequest{FailureDomain: args[0], Restore: restore})
		if err != nil {
			return err
		}
		return cl.printAnswer(r, r.Answer, r.Reason, func(w io.Writer) {
			state := "drained"
			if restore {
				state = "restored"
			}
			fmt.Fprintf(w, "%s is %s; it has %d agents\n", args[0], state, r.Agents)
		})
	})
}
