package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/gorilla/mux"

	"github.com/primroseladder/primroseladder/internal/entry"
	"github.com/primroseladder/primroseladder/internal/fleet"
	"github.com/primroseladder/primroseladder/internal/keeper"
	"github.com/primroseladder/primroseladder/internal/settings"
	"github.com/primroseladder/primroseladder/internal/standin/kv"
	"github.com/primroseladder/primroseladder/internal/standin/vms"
)

// platform serves a store, a VM list and the status of one keeper, which reports the revision set by the test.
type platform struct {
	t        *testing.T
	url      string
	revision atomic.Uint64
}

func newPlatform(t *testing.T) *platform {
	p := &platform{t: t}
	router := mux.NewRouter()
	kv.New().Register(router)
	router.HandleFunc("/status", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(Status{VM: "entry-1", Region: "perth", Zone: "perth-a", Revision: p.revision.Load()})
	})
	server := httptest.NewServer(router)
	t.Cleanup(server.Close)
	p.url = server.URL
	address := strings.TrimPrefix(server.URL, "http://")
	vms.New([]fleet.VM{
		{
			Name: "entry-1", Role: fleet.RoleEntry, State: fleet.StateLive, Region: "perth", Zone: "perth-a",
			KeeperOperatorAddress: address, CallerAddress: "10.0.0.1:80",
		},
		{Name: "deposits-1", Role: fleet.RoleBackendServer, State: fleet.StateLive, Region: "perth", Zone: "perth-a", Service: "deposits"},
	}).Register(router)
	return p
}

// run runs primrosectl and returns its output, followed by the text of its error, and its exit code.
func (p *platform) run(args ...string) (string, int) {
	var out bytes.Buffer
	args = append([]string{"primrosectl"}, args...)
	err := App(&out).Run(context.Background(), args)
	if err != nil {
		out.WriteString(err.Error())
	}
	return out.String(), ExitCode(err)
}

func (p *platform) apply(path string, args ...string) (string, int) {
	return p.run(append(append([]string{"apply", "--store", p.url, "--vms", p.url, "--author", "ann"}, args...), path)...)
}

func (p *platform) setFault(f kv.Fault) {
	body, _ := json.Marshal(f)
	req, _ := http.NewRequest(http.MethodPut, p.url+"/control/kv", bytes.NewReader(body))
	resp, err := http.DefaultClient.Do(req)
	qt.Assert(p.t, err, qt.IsNil)
	resp.Body.Close()
}

func writeEntry(t *testing.T, folder, service, extra string) string {
	path := filepath.Join(folder, service+".yaml")
	text := "service: " + service + "\nowner: desk\nroutes:\n  - prefix: /" + service + "\n" + extra
	qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

// TestOperatorWorkflow runs the commands in the order of a first session, and checks the exit code and
// part of the output of each.
func TestOperatorWorkflow(t *testing.T) {
	p := newPlatform(t)
	folder := t.TempDir()
	writeEntry(t, folder, "deposits", "")
	writeEntry(t, folder, "archive", "")
	steps := []struct {
		args []string
		code int
		want string
	}{
		{[]string{"validate", folder}, ExitOK, "2 entries are valid"},
		{[]string{"diff", "--store", p.url, folder}, ExitOK, "+ deposits"},
		{[]string{"apply", "--store", p.url, "--vms", p.url, folder}, ExitOK, "accepted as revision 1"},
		{[]string{"apply", "--store", p.url, "--vms", p.url, folder}, ExitOK, "no change, revision 1"},
		{[]string{"apply", "--store", p.url, "--vms", p.url, "--wait", "--timeout", "100ms", folder}, ExitNotInForce, "entry-1/keeper (revision 0)"},
		{[]string{"get", "--store", p.url, "deposits"}, ExitOK, "prefix: /deposits"},
		{[]string{"history", "--store", p.url}, ExitOK, "archive deposits"},
		{[]string{"status", "--vms", p.url}, ExitOK, "entry-1/keeper"},
		{[]string{"locate", "--vms", p.url, "deposits"}, ExitOK, "1 live backend servers, 0 leaving, home region"},
		{[]string{"why", "--vms", p.url, "deposits-1"}, ExitUnreachable, "no entry answers"},
		{[]string{"status", "--vms", "http://127.0.0.1:1"}, ExitUnreachable, "read VM list"},
		{[]string{"get", "--store", "http://127.0.0.1:1"}, ExitUnreachable, "store read"},
		{[]string{"validate", filepath.Join(folder, "none.yaml")}, ExitRefused, "none.yaml"},
	}
	for _, s := range steps {
		out, code := p.run(s.args...)
		qt.Check(t, code, qt.Equals, s.code, qt.Commentf("%v: %s", s.args, out))
		qt.Check(t, out, qt.Contains, s.want, qt.Commentf("%v", s.args))
	}
}

// TestFileKeepsOtherEntries checks that applying a file changes only its own entries, and that applying a folder removes the
// entries that it lacks.
func TestFileKeepsOtherEntries(t *testing.T) {
	p := newPlatform(t)
	folder := t.TempDir()
	writeEntry(t, folder, "deposits", "")
	file := writeEntry(t, folder, "archive", "")
	p.apply(folder)
	writeEntry(t, folder, "archive", "class: bulk\n")
	out, code := p.apply(file)
	qt.Assert(t, code, qt.Equals, ExitOK, qt.Commentf("%s", out))
	qt.Check(t, out, qt.Equals, "~ archive\n    class: \"standard\" -> \"bulk\"\naccepted as revision 2\n")
	qt.Assert(t, os.Remove(file), qt.IsNil)
	out, _ = p.apply(folder)
	qt.Check(t, out, qt.Equals, "- archive\naccepted as revision 3\n")
}

// TestExitCodes checks the exit codes of apply for conflicts, a stale store, lost answers, an outage and invalid input.
func TestExitCodes(t *testing.T) {
	t.Run("conflict shows both versions", func(t *testing.T) {
		p := newPlatform(t)
		file := writeEntry(t, t.TempDir(), "deposits", "class: bulk\n")
		p.apply(file)
		other := writeEntry(t, t.TempDir(), "deposits", "class: protected\n")
		p.apply(other, "--message", "deposits first")
		writeEntry(t, filepath.Dir(file), "deposits", "class: standard\n")
		out, code := p.apply(file, "--base-revision", "1")
		qt.Check(t, code, qt.Equals, ExitConflict, qt.Commentf("%s", out))
		for _, want := range []string{"changed by ann", "in revision 2 (deposits first)", "class: protected", "class: standard"} {
			qt.Check(t, out, qt.Contains, want)
		}
	})
	t.Run("store behind the fleet", func(t *testing.T) {
		p := newPlatform(t)
		p.revision.Store(7)
		out, code := p.apply(writeEntry(t, t.TempDir(), "deposits", ""))
		qt.Check(t, code, qt.Equals, ExitRefused, qt.Commentf("%s", out))
		qt.Check(t, out, qt.Contains, "the store is at revision 0 and entry-1/keeper at 7")
	})
	t.Run("lost answer is settled", func(t *testing.T) {
		p := newPlatform(t)
		p.setFault(kv.Fault{LoseNext: 1})
		out, code := p.apply(writeEntry(t, t.TempDir(), "deposits", ""))
		qt.Check(t, code, qt.Equals, ExitOK, qt.Commentf("%s", out))
	})
	t.Run("store down", func(t *testing.T) {
		p := newPlatform(t)
		p.setFault(kv.Fault{Down: true})
		out, code := p.apply(writeEntry(t, t.TempDir(), "deposits", ""))
		qt.Check(t, code, qt.Equals, ExitUnreachable, qt.Commentf("%s", out))
	})
	t.Run("refused", func(t *testing.T) {
		p := newPlatform(t)
		out, code := p.apply(writeEntry(t, t.TempDir(), "deposits", "class: best\n"))
		qt.Check(t, code, qt.Equals, ExitRefused, qt.Commentf("%s", out))
		qt.Check(t, out, qt.Contains, "deposits.yaml:5: class: must be")
	})
}

// TestConcurrentOperators checks that of several concurrent changes of one entry on the same base revision exactly one is
// accepted, and that the others end with the exit code for a conflict.
func TestConcurrentOperators(t *testing.T) {
	for range 5 {
		p := newPlatform(t)
		p.apply(writeEntry(t, t.TempDir(), "deposits", ""))
		codes := make([]int, 4)
		var wg sync.WaitGroup
		for i, class := range []string{"protected", "bulk", "protected", "bulk"} {
			extra := "class: " + class + "\nlimits:\n  queue_length: " + string(rune('1'+i)) + "\n"
			file := writeEntry(t, t.TempDir(), "deposits", extra)
			wg.Go(func() { _, codes[i] = p.apply(file, "--base-revision", "1") })
		}
		wg.Wait()
		accepted := 0
		for _, code := range codes {
			qt.Check(t, code == ExitOK || code == ExitConflict, qt.IsTrue, qt.Commentf("%v", codes))
			if code == ExitOK {
				accepted++
			}
		}
		qt.Check(t, accepted, qt.Equals, 1, qt.Commentf("%v", codes))
	}
}

// TestExamplesAreValid checks that the printed examples pass the validation of settings and of catalogue entries.
func TestExamplesAreValid(t *testing.T) {
	qt.Check(t, settings.Parse("entry.yaml", []byte(ExampleEntry), entry.DefaultSettings()), qt.IsNil)
	qt.Check(t, settings.Parse("keeper.yaml", []byte(ExampleKeeper), keeper.DefaultSettings()), qt.IsNil)
	path := filepath.Join(t.TempDir(), "catalogue.yaml")
	qt.Assert(t, os.WriteFile(path, []byte(ExampleCatalogue), 0o600), qt.IsNil)
	p := newPlatform(t)
	out, code := p.run("validate", path)
	qt.Check(t, code, qt.Equals, ExitOK, qt.Commentf("%s", out))
}

// TestUnknownOutcome checks the exit code and the advice for a write that never gets an answer.
func TestUnknownOutcome(t *testing.T) {
	p := newPlatform(t)
	p.setFault(kv.Fault{LoseAnswers: true, LagMS: 60_000, LagAll: true})
	out, code := p.apply(writeEntry(t, t.TempDir(), "deposits", ""), "--settle", "1s")
	qt.Check(t, code, qt.Equals, ExitUnknown, qt.Commentf("%s", out))
	qt.Check(t, out, qt.Contains, "run the same command again")
}
