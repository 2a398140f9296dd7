// This file defines the commands that explain the scheduling of jobs of steps.

package cmds

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/grpc"

	"sycamoredeck.example/internal/schema/wire"
)

func (p *program) workExplain() *cobra.Command {
	c := &cobra.Command{Use: "explain HOST PATH", Short: "Show why the steps of a job wait, with the number of agents that each limit excludes", Args: cobra.ExactArgs(2)}
	return p.clientCommand(c, func(ctx context.Context, cl *client, conn *grpc.ClientConn, args []string) error {
		r, err := wire.NewWorkServiceClient(conn).ExplainWork(ctx, &wire.ExplainWorkRequest{Target: workTarget(args)})
		if err != nil {
			return err
		}
		return cl.printAnswer(r, r.Answer, r.Reason, func(w io.Writer) { printWaiting(w, r.Stages) })
	})
}

func (p *program) capacityCommand() *cobra.Command {
	c := &cobra.Command{Use: "capacity", Short: "Show the capacity for jobs of steps by pool and failure domain", Args: cobra.NoArgs}
	return p.clientCommand(c, func(ctx context.Context, cl *client, conn *grpc.ClientConn, _ []string) error {
		r, err := wire.NewWorkServiceClient(conn).GetCapacity(ctx, &wire.GetCapacityRequest{})
		if err != nil {
			return err
		}
		return cl.print(r, func(w io.Writer) { printCapacity(w, r.Domains) })
	})
}

func printWaiting(w io.Writer, stages []*wire.WaitingStage) {
	if len(stages) == 0 {
		fmt.Fprintln(w, "no step has tasks to place")
		return
	}
	fmt.Fprintln(w, "STEP\tTASKS\tCORES\tMEMORY MB\tACCELERATORS\tWAITING\tPRIORITY\tPROSPECT\tSLACK\tPOSITION\tLIMIT\tEXCLUDED AGENTS")
	for _, s := range stages {
		position, limited := "-", "none"
		if s.Position > 0 {
			position = fmt.Sprint(s.Position)
		}
		if s.Limit != "" {
			limited = s.Limit
		}
		var excluded []string
		for _, x := range s.Excluded {
			excluded = append(excluded, fmt.Sprintf("%s %d", x.Limit, x.Agents))
		}
		fmt.Fprintf(w, "%d.%d\t%d\t%s\t%d\t%d\t%v\t%d\t%s\t%v\t%s\t%s\t%s of %d\n", s.Occurrence, s.Step, s.Unplaced, cores(s.CpuMillis), s.MemoryMb, s.Accelerators,
			s.Waiting.AsDuration().Round(time.Millisecond), s.Priority, s.Prospect, s.Slack.AsDuration().Round(time.Millisecond), position, limited,
			strings.Join(excluded, ", "), s.Agents)
	}
}

func printCapacity(w io.Writer, domains []*wire.DomainCapacity) {
	fmt.Fprintln(w, "POOL\tFAILURE DOMAIN\tAGENTS\tCORES\tREQUESTED\tFREE\tAGENTS WITH FREE CORES\tQUARANTINED")
	for _, d := range domains {
		var pieces []string
		for _, f := range d.FreePieces {
			pieces = append(pieces, fmt.Sprintf("%s:%d", cores(f.CpuMillis), f.Agents))
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%d\n", d.Pool, d.FailureDomain, d.Agents, cores(d.CpuMillis), cores(d.RequestedMillis), cores(d.FreeMillis),
			strings.Join(pieces, " "), len(d.Quarantined))
	}
	for _, d := range domains {
		for _, r := range d.Reservations {
			fmt.Fprintf(w, "reserved\t%s\tfor %s step %d.%d\n", r.Agent, r.Job, r.Occurrence, r.Step)
		}
		for _, a := range d.Quarantined {
			fmt.Fprintf(w, "quarantined\t%s\n", a)
		}
	}
}

// cores formats millicores as cores.
func cores(millis uint64) string { return fmt.Sprint(float64(millis) / 1000) }
