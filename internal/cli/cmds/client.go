// This file defines how client commands reach an entry and print.

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

// connectTimeout bounds the wait for one entry.
const connectTimeout = 2 * time.Second

// errUnreachable is the reason to try the next entry.
var errUnreachable = errors.New("can't be reached")

// client is one client command's way to the entries.
type client struct {
	settings *wire.ClientSettings
	out      io.Writer
}

// clientCommand makes a command that talks to an entry. Run is tried at one
// entry after the other while none can be reached.
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
		for _, address := range settings.Entry {
			err = cl.at(ctx, address, func(conn *grpc.ClientConn) error { return run(ctx, cl, conn, args) })
			if !errors.Is(err, errUnreachable) {
				return err
			}
		}
		return &outcomeError{code: ExitNotRun, reason: err.Error()}
	}
	return c
}

// at connects to one entry before anything is sent, so that trying the next
// can't do anything twice.
func (cl *client) at(ctx context.Context, address string, run func(*grpc.ClientConn) error) error {
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(link.MaxMessageBytes)))
	if err != nil {
		return err
	}
	defer conn.Close()
	if !connected(ctx, conn) {
		return fmt.Errorf("not run: entry %s %w", address, errUnreachable)
	}
	return run(conn)
}

// connected waits until the connection stands. It gives up at the first
// failure, since there are other entries.
func connected(ctx context.Context, conn *grpc.ClientConn) bool {
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

// print writes a message as the settings ask: JSON in the schema's names, or
// the text that the command makes.
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

// readMessage reads a message in JSON from a file; - is standard input. All that
// can be wrong is a mistake of whoever gave the command.
func readMessage(path string, into proto.Message) error {
	data, err := payloadOf(nil, path)
	if err != nil {
		return usageError{err}
	}
	if err := protojson.Unmarshal(data, into); err != nil {
		return usageError{fmt.Errorf("%s: %w", path, err)}
	}
	return nil
}
