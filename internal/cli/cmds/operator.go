// This file defines the control-member, backend, worker and status commands.

package cmds

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/spf13/cobra"
	"google.golang.org/grpc"

	"sycamoredeck.example/internal/schema/wire"
)

func (p *program) memberCommand() *cobra.Command {
	c := &cobra.Command{Use: "control-member", Short: "The membership of the control replicas"}
	c.AddCommand(p.memberList(),
		p.memberChange("add NAME", "Let in a waiting replica", 1, func(args []string) (*wire.ChangeControlMemberRequest, error) {
			return &wire.ChangeControlMemberRequest{AddName: args[0]}, nil
		}),
		p.memberChange("remove REPLICA-ID", "Remove a member", 1, func(args []string) (*wire.ChangeControlMemberRequest, error) {
			id, err := strconv.ParseUint(args[0], 10, 64)
			return &wire.ChangeControlMemberRequest{RemoveReplicaId: id}, err
		}),
		p.memberChange("replace REPLICA-ID NAME", "Replace a lost member by a waiting replica", 2, func(args []string) (*wire.ChangeControlMemberRequest, error) {
			id, err := strconv.ParseUint(args[0], 10, 64)
			return &wire.ChangeControlMemberRequest{RemoveReplicaId: id, AddName: args[1]}, err
		}))
	return c
}

func (p *program) memberList() *cobra.Command {
	c := &cobra.Command{Use: "list", Short: "List members and waiting replicas", Args: cobra.NoArgs}
	return p.clientCommand(c, func(ctx context.Context, cl *client, conn *grpc.ClientConn, _ []string) error {
		r, err := wire.NewOperatorServiceClient(conn).ListControlMembers(ctx, &wire.ListControlMembersRequest{})
		if err != nil {
			return err
		}
		return cl.print(r, func(w io.Writer) {
			fmt.Fprintln(w, "REPLICA\tNAME\tADDRESS\tROLE")
			for _, m := range r.Members {
				printMember(w, m, roleOf(m, r.LeaderReplicaId))
			}
			for _, m := range r.Waiting {
				printMember(w, m, "waiting")
			}
		})
	})
}

func printMember(w io.Writer, m *wire.ControlMember, role string) {
	fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", m.ReplicaId, m.Name, m.Address, role)
}

func roleOf(m *wire.ControlMember, leader uint64) string {
	switch {
	case m.ReplicaId == leader:
		return "leader"
	case m.Voter:
		return "voter"
	default:
		return "learner"
	}
}

func (p *program) memberChange(use, short string, count int, request func([]string) (*wire.ChangeControlMemberRequest, error)) *cobra.Command {
	c := &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(count)}
	return p.clientCommand(c, func(ctx context.Context, cl *client, conn *grpc.ClientConn, args []string) error {
		change, err := request(args)
		if err != nil {
			return usageError{err}
		}
		r, err := wire.NewOperatorServiceClient(conn).ChangeControlMember(ctx, change)
		if err != nil {
			return err
		}
		return cl.print(r, func(w io.Writer) {
			for _, m := range r.Members {
				printMember(w, m, roleOf(m, 0))
			}
		})
	})
}

func (p *program) backendCommand() *cobra.Command {
	group := &cobra.Command{Use: "backend", Short: "Backend servers"}
	list := &cobra.Command{Use: "list", Short: "List the backend servers that an entry knows", Args: cobra.NoArgs}
	group.AddCommand(p.clientCommand(list, func(ctx context.Context, cl *client, conn *grpc.ClientConn, _ []string) error {
		r, err := wire.NewOperatorServiceClient(conn).ListBackendServers(ctx, &wire.ListBackendServersRequest{})
		if err != nil {
			return err
		}
		return cl.print(r, func(w io.Writer) {
			fmt.Fprintln(w, "BACKEND SERVER\tSERVICE\tADDRESS\tFAILURE DOMAIN\tSLOTS\tUSABLE\tLEAVING\tHEARD")
			for _, b := range r.BackendServers {
				a := b.Announcement
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%t\t%t\t%v ago\n", a.BackendServerId, a.Service, a.Address, a.FailureDomain, a.Slots, b.Usable, a.Leaving, b.EvidenceAge.AsDuration().Round(1e6))
			}
		})
	}))
	return group
}

func (p *program) workerCommand() *cobra.Command {
	c := &cobra.Command{Use: "worker", Short: "Workers"}
	c.AddCommand(p.workerList(), p.workerQuarantine(), p.workerRelease())
	return c
}

func (p *program) workerList() *cobra.Command {
	c := &cobra.Command{Use: "list", Short: "List registered workers", Args: cobra.NoArgs}
	return p.clientCommand(c, func(ctx context.Context, cl *client, conn *grpc.ClientConn, _ []string) error {
		r, err := wire.NewOperatorServiceClient(conn).ListWorkers(ctx, &wire.ListWorkersRequest{})
		if err != nil {
			return err
		}
		return cl.print(r, func(w io.Writer) {
			fmt.Fprintln(w, "WORKER\tRACK\tFAILURE DOMAIN\tTASKS\tMILLIPROCESSORS\tMEMORY\tATTENDING\tQUARANTINE")
			for _, s := range r.Workers {
				k := s.Worker
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d/%d\t%d/%d\t%t\t%s\n", k.WorkerId, k.Rack, k.FailureDomain, s.Tasks,
					s.Committed.GetMilliProcessors(), k.Capacity.GetMilliProcessors(), s.Committed.GetMemoryBytes(), k.Capacity.GetMemoryBytes(),
					s.Attending, s.QuarantineReason)
			}
		})
	})
}

func (p *program) workerQuarantine() *cobra.Command {
	var reason string
	c := &cobra.Command{Use: "quarantine WORKER", Short: "Give a worker no new tasks", Args: cobra.ExactArgs(1)}
	c.Flags().StringVar(&reason, "reason", "by operator", "why")
	return p.clientCommand(c, func(ctx context.Context, _ *client, conn *grpc.ClientConn, args []string) error {
		_, err := wire.NewOperatorServiceClient(conn).QuarantineWorker(ctx, &wire.QuarantineWorkerRequest{WorkerId: args[0], Reason: reason})
		return err
	})
}

func (p *program) workerRelease() *cobra.Command {
	c := &cobra.Command{Use: "release WORKER", Short: "End a worker's quarantine", Args: cobra.ExactArgs(1)}
	return p.clientCommand(c, func(ctx context.Context, _ *client, conn *grpc.ClientConn, args []string) error {
		_, err := wire.NewOperatorServiceClient(conn).QuarantineWorker(ctx, &wire.QuarantineWorkerRequest{WorkerId: args[0], Release: true})
		return err
	})
}

func (p *program) statusCommand() *cobra.Command {
	c := &cobra.Command{Use: "status", Short: "Show who leads and what runs", Args: cobra.NoArgs}
	return p.clientCommand(c, func(ctx context.Context, cl *client, conn *grpc.ClientConn, _ []string) error {
		r, err := wire.NewOperatorServiceClient(conn).GetStatus(ctx, &wire.GetStatusRequest{})
		if err != nil {
			return err
		}
		return cl.print(r, func(w io.Writer) {
			fmt.Fprintf(w, "leader\t%s, term %d, commit index %d\n", r.Leader, r.Term, r.CommitIndex)
			fmt.Fprintf(w, "configuration\tversion %d\n", r.ConfigurationVersion)
			fmt.Fprintf(w, "workers\t%d\n", r.Workers)
			if len(r.DrainedDomains) > 0 {
				fmt.Fprintf(w, "drained\t%s\n", strings.Join(r.DrainedDomains, " "))
			}
			fmt.Fprintf(w, "jobs\t%d queued, %d running, %d finished\n", r.Queued, r.Running, r.Finished)
			for _, e := range r.Entries {
				fmt.Fprintf(w, "entry %s\t%s, %s, configuration %d, heard %v ago\n", e.EntryId, e.Address, e.FailureDomain, e.ConfigurationVersion, e.HeardAgo.AsDuration().Round(1e6))
			}
		})
	})
}
