package commands_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dotterelgap/commands"
	"dotterelgap/io/admin"

	"github.com/rogpeppe/go-internal/testscript"
)

// awaitTimeout limits every wait of a script.
const awaitTimeout = 30 * time.Second

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"dotterelgap": func() {
			os.Exit(commands.Execute(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
		},
	})
}

// TestScript runs the scripts under testdata with real processes.
func TestScript(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"ports":  cmdPorts,
			"call":   cmdCall,
			"await":  cmdAwait,
			"repeat": cmdRepeat,
			"begin":  cmdBegin,
			"finish": cmdFinish,
			"member": cmdMember,
		},
	})
}

// The range of the ports of scripts. It lies below the range from which the system
// takes ports for outgoing connections, and no port is used twice, so that scripts that
// run in parallel don't conflict.
const (
	firstPort = 12_000
	lastPort  = 32_000
)

var nextPort atomic.Int64

func init() { nextPort.Store(firstPort + int64(os.Getpid()%100)*150) }

// cmdPorts sets variables to unused loopback addresses: ports NAME...
func cmdPorts(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		ts.Setenv(name, freeAddr(ts))
	}
}

func freeAddr(ts *testscript.TestScript) string {
	for range lastPort - firstPort {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%(lastPort-firstPort))
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		ts.Check(ln.Close())
		return addr
	}
	ts.Fatalf("no unused port found")
	return ""
}

// cmdCall sends a request and writes the status, the outcome and the body of the response
// to the file "reply":
// call METHOD URL [-key KEY] [-id IDEMPOTENCY] [-type CONTENT_TYPE] [-body FILE]
func cmdCall(ts *testscript.TestScript, neg bool, args []string) {
	status, text, err := call(ts, args)
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs("reply"), []byte(text), 0o600))
	if ok := status >= 200 && status < 300; ok == neg {
		ts.Fatalf("unexpected response:\n%s", text)
	}
}

// backgroundCalls holds a channel for the response of each call that runs in the
// background, by script and name.
var backgroundCalls sync.Map

// cmdBegin starts a call in the background: begin NAME METHOD URL ...
func cmdBegin(ts *testscript.TestScript, _ bool, args []string) {
	reply := make(chan string, 1)
	backgroundCalls.Store(ts.Name()+"/"+args[0], reply)
	req, err := newRequest(ts, args[1:])
	ts.Check(err)
	go func() {
		_, text, err := send(req)
		reply <- fmt.Sprint(text, "error ", err, "\n")
	}()
}

// cmdFinish waits for a background call and writes its response and error to the file
// "reply": finish NAME
func cmdFinish(ts *testscript.TestScript, _ bool, args []string) {
	reply, ok := backgroundCalls.Load(ts.Name() + "/" + args[0])
	if !ok {
		ts.Fatalf("no background call %q", args[0])
	}
	ts.Check(os.WriteFile(ts.MkAbs("reply"), []byte(<-reply.(chan string)), 0o600))
}

func call(ts *testscript.TestScript, args []string) (int, string, error) {
	req, err := newRequest(ts, args)
	if err != nil {
		return 0, "", err
	}
	return send(req)
}

func newRequest(ts *testscript.TestScript, args []string) (*http.Request, error) {
	var body io.Reader
	header := http.Header{}
	for i := 2; i+1 < len(args); i += 2 {
		switch args[i] {
		case "-key":
			header.Set("Authorization", "Bearer "+args[i+1])
		case "-id":
			header.Set("Idempotency-Key", args[i+1])
		case "-type":
			header.Set("Content-Type", args[i+1])
		case "-body":
			if header.Get("Content-Type") == "" {
				header.Set("Content-Type", "application/json")
			}
			body = strings.NewReader(ts.ReadFile(args[i+1]))
		}
	}
	req, err := http.NewRequest(args[0], args[1], body)
	if err != nil {
		return nil, err
	}
	req.Header = header
	return req, nil
}

func send(req *http.Request) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	resp, err := http.DefaultClient.Do(req.WithContext(ctx))
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, readErr := io.ReadAll(resp.Body)
	text := fmt.Sprintf("status %d\noutcome %s%s\n%s\n", resp.StatusCode,
		resp.Header.Get("Dotterelgap-Outcome"), resp.Trailer.Get("Dotterelgap-Outcome"), data)
	if readErr != nil {
		text += "broken off: " + readErr.Error() + "\n"
	}
	return resp.StatusCode, text, nil
}

// cmdAwait waits until a URL responds with status 200 and a body that contains a text:
// await URL [TEXT]
func cmdAwait(ts *testscript.TestScript, _ bool, args []string) {
	last := ""
	for deadline := time.Now().Add(awaitTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		status, text, err := call(ts, []string{http.MethodGet, args[0]})
		last = fmt.Sprint(text, err)
		if err == nil && status == http.StatusOK && (len(args) < 2 || strings.Contains(text, args[1])) {
			return
		}
	}
	ts.Fatalf("%s: timed out; the last response was:\n%s", args[0], last)
}

// cmdRepeat runs a command until it succeeds and its output contains a text:
// repeat TEXT dotterelgap ARGS...
func cmdRepeat(ts *testscript.TestScript, _ bool, args []string) {
	var out string
	for deadline := time.Now().Add(awaitTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		err := ts.Exec(args[1], args[2:]...)
		out = ts.ReadFile("stdout") + ts.ReadFile("stderr")
		want, e := strconv.Unquote(`"` + args[0] + `"`)
		ts.Check(e)
		if err == nil && strings.Contains(out, want) {
			return
		}
	}
	ts.Fatalf("%v: timed out; the last output was:\n%s", args, out)
}

// cmdMember sets a variable to the member id of the control host at an address:
// member NAME ADDRESS
func cmdMember(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(ts.Exec("dotterelgap", "status", "-json"))
	var status admin.StatusReply
	ts.Check(json.Unmarshal([]byte(ts.ReadFile("stdout")), &status))
	for _, m := range status.Control.Members.Members {
		if m.Addr.String() == args[1] {
			ts.Setenv(args[0], strconv.FormatUint(uint64(m.ID), 16))
			return
		}
	}
	ts.Fatalf("no member at %s", args[1])
}
