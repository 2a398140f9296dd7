// This file defines how client commands connect to an entry, and their output.

package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"sycamoredeck.example/internal/base/link"
	"sycamoredeck.example/internal/base/setup"
	"sycamoredeck.example/internal/schema/wire"
)

// connectTimeout is the time limit for connecting to one entry.
const connectTimeout = 2 * time.Second

// errUnreachable makes a command try the next entry.
var errUnreachable = errors.New("can't be reached")

// client holds the settings and the output of one client command.
type client struct {
	settings *wire.ClientSettings
	out      io.Writer
}

// clientCommand turns c into a command that calls an entry. It tries the entries in order
// and calls run with a connection to the first one that is reachable.
func (p *program) clientCommand(c *cobra.Command, run func(ctx context.Context, cl *client, conn *grpc.ClientConn, args []string) error) *cobra.Command {
	settings := &wire.ClientSettings{}
	binder := setup.Bind(settings, c.Flags())
	c.RunE = func(c *cobra.Command, args []string) error {
		if err := binder.Load(); err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(c.Context(), settings.Timeout.AsDuration())
		defer cancel()
		cl := &client{settings: settings, out: p.out}
		var err error
		for _, a := range settings.Entry {
			err = cl.withConn(ctx, a, func(conn *grpc.ClientConn) error { return run(ctx, cl, conn, args) })
			if !errors.Is(err, errUnreachable) {
				return err
			}
		}
		return &outcomeError{code: ExitNotRun, reason: err.Error()}
	}
	return c
}

// withConn calls run with a connection to an entry. It connects before anything is sent,
// so that trying the next entry never repeats a request.
func (cl *client) withConn(ctx context.Context, address string, run func(*grpc.ClientConn) error) error {
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(link.MaxMessageBytes)))
	if err != nil {
		return err
	}
	defer conn.Close()
	if !waitReady(ctx, conn) {
		return fmt.Errorf("not run: entry %s %w", address, errUnreachable)
	}
	return run(conn)
}

// waitReady waits until the connection is established. It returns false after the first
// failed attempt, since other entries can be tried.
func waitReady(ctx context.Context, conn *grpc.ClientConn) bool {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn.Connect()
	for {
		state := conn.GetState()
		switch state {
		case connectivity.Ready:
			return true
		case connectivity.TransientFailure, connectivity.Shutdown:
			return false
		default:
		}
		if !conn.WaitForStateChange(ctx, state) {
			return false
		}
	}
}

// print writes a message as JSON or, by calling text, as a table, depending on the
// settings.
func (cl *client) print(m proto.Message, text func(w io.Writer)) error {
	if cl.settings.Output != "json" {
		w := tabwriter.NewWriter(cl.out, 0, 4, 2, ' ', 0)
		text(w)
		return w.Flush()
	}
	data, err := protojson.MarshalOptions{Multiline: true, Indent: "  "}.Marshal(m)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(cl.out, string(data))
	return err
}

// readMessage reads a message in JSON from a file, or from standard input if path is "-".
// All errors are usage errors.
func readMessage(path string, into proto.Message) error {
	data, err := readPayload(nil, path)
	if err != nil {
		return usageError{err}
	}
	if err := protojson.Unmarshal(data, into); err != nil {
		return usageError{fmt.Errorf("%s: %w", path, err)}
	}
	return nil
}
