package server

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"crankhold/internal/config"
	"crankhold/internal/fake"
	"crankhold/internal/router"
	"crankhold/policy"
)

// deployment is the deployment of one operator. To add one, add a row and its settings under testdata/deployments.
type deployment struct {
	name       string
	want       expectedPolicy
	tenant     string // one of its tenants; "" if it has none
	loadReport string // a load report with the fields that its settings name
}

// expectedPolicy holds the fields of the policy's configuration in which deployments differ.
type expectedPolicy struct {
	Idempotency         []policy.Idempotency
	TenantRates         []float64
	MaxAttempts         int
	HedgingAllowed      bool
	MissWhenNotLoaded   bool
	ConcurrencyReported bool
	DrainGracePeriod    time.Duration
	MaxRetryAfter       time.Duration
	OverloadMultiple    float64
	LoadReportFields    []string
	MemoryPrice         float64
	MemoryMB            float64
}

var deployments = []deployment{
	{"lanternfield", expectedPolicy{[]policy.Idempotency{policy.Idempotent, policy.Idempotent, policy.NotIdempotent}, nil, 3, true, true, false,
		time.Second, time.Second, 2, []string{"inflight"}, 0.05, 8928}, "", "inflight:3"},
	{"derwent", expectedPolicy{[]policy.Idempotency{policy.Idempotent, policy.IdempotentWithKey, policy.NotIdempotent}, []float64{308, 70, 62}, 5, false, false, true,
		500 * time.Millisecond, 500 * time.Millisecond, 4, []string{"util", "queue", "x1", "x0"}, 0.15, 7904},
		"launceston", "util:0.5;queue:1;x1:0;x0:0.2"},
	{"skerry-tides", expectedPolicy{[]policy.Idempotency{policy.Idempotent, policy.IdempotentWithKey, policy.NotIdempotent}, []float64{186, 99, 15}, 2, false, false, true,
		600 * time.Millisecond, 800 * time.Millisecond, 1.5, []string{"queue", "x0"}, 0.2, 16384}, "islets", "queue:2;x0:0.3"},
	{"lockgate", expectedPolicy{[]policy.Idempotency{policy.Idempotent, policy.Idempotent, policy.NotIdempotent}, nil, 4, true, true, false,
		1500 * time.Millisecond, 400 * time.Millisecond, 3, []string{"inflight"}, 0.03, 12544}, "", "inflight:1"},
}

func (d deployment) settings(t *testing.T) map[string]any {
	text, err := os.ReadFile(filepath.Join("testdata", "deployments", d.name+".json"))
	if err != nil {
		t.Fatal(err)
	}
	var s map[string]any
	if err := json.Unmarshal(text, &s); err != nil {
		t.Fatal(err)
	}
	s["later"] = map[string]any{"keys": "are ignored"}
	return s
}

// scriptedDeployment is a server in this process with two workers whose responses a test defines.
type scriptedDeployment struct {
	cfg      *config.Config
	client   *fake.Client
	mu       sync.Mutex
	runs     []receivedRun
	inFlight map[string]int // number of attempts in flight, by request id
	overlaps int            // how often a request had more than one attempt in flight
	script   func(n int) (status, fields string)
}

// receivedRun is a RUN command that a worker read.
type receivedRun struct {
	ID, Body string
	Fields   map[string]string
}

func startDeployment(t *testing.T, d deployment) *scriptedDeployment {
	p := &scriptedDeployment{inFlight: map[string]int{}}
	var members []any
	for i := range 2 {
		ln := listenLoopback(t)
		go serveConnections(ln, p.serve)
		members = append(members, map[string]any{"id": fmt.Sprint("s-", i), "host_port": ln.Addr().String(), "phase": "Ready", "size": 1})
	}
	discoveryServer, err := net.ListenPacket("udp", "127.0.0.1:0") // a discovery server that never responds
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { discoveryServer.Close() })
	listen, err := fake.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	server := startServer(t, map[string]any{"name": "n1", "listen": listen, "seed": "8c1f30d27a5be964", "names": discoveryServer.LocalAddr().String(),
		"limits":   map[string]any{"cores": 1, "memory_mb": 64, "sockets": 384},
		"known":    map[string]any{"offset": 1, "batch": []any{map[string]any{"offset": 1, "topology": map[string]any{"complete": true, "members": members}}}},
		"settings": d.settings(t)}, Options{})
	p.client = server.dial()
	if p.cfg, err = readConfig(server.path); err != nil {
		t.Fatal(err)
	}
	return p
}

func (p *scriptedDeployment) serve(c net.Conn) {
	respond := func(words ...string) { io.WriteString(c, encodeWords(words...)) }
	for in := bufio.NewReader(c); ; {
		words, err := readWords(in)
		if err != nil || len(words) < 2 {
			return
		}
		switch {
		case len(words) == 4 && words[0] == "RUN":
			r := receivedRun{ID: words[1], Body: words[3], Fields: map[string]string{}}
			for pair := range strings.SplitSeq(words[2], ",") {
				name, value, _ := strings.Cut(pair, "=")
				r.Fields[name] = value
			}
			p.mu.Lock()
			p.runs = append(p.runs, r)
			if p.inFlight[r.ID]++; p.inFlight[r.ID] > 1 {
				p.overlaps++
			}
			status, fields := p.script(len(p.runs))
			p.inFlight[r.ID]--
			p.mu.Unlock()
			respond(r.ID, status, fields, "done "+r.Body)
		case words[0] == "HOLD":
			respond(words[1], "HIT", "count=1", "")
		case words[0] == "INFO" || words[0] == "NOOP":
			respond(words[1], "PONG", "-", "")
		}
	}
}

// send sends a request, and returns its response and the RUN commands that workers read.
func (p *scriptedDeployment) send(t *testing.T, request fake.Request, script func(n int) (status, fields string)) (fake.Response, []receivedRun) {
	t.Helper()
	p.mu.Lock()
	p.runs, p.script = nil, script
	p.mu.Unlock()
	response, err := p.client.Do(request)
	if err != nil {
		t.Fatalf("%+v: %v", request, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return response, p.runs
}

// The settings of each deployment reach the policy's configuration. Unknown keys in the file are ignored.
func TestDeploymentsSettingsReachThePolicy(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			policyConfig := startDeployment(t, d).cfg.Policy
			got := expectedPolicy{MaxAttempts: policyConfig.MaxAttempts, HedgingAllowed: policyConfig.HedgingAllowed, MissWhenNotLoaded: policyConfig.MissWhenNotLoaded, ConcurrencyReported: policyConfig.ConcurrencyReported, DrainGracePeriod: policyConfig.DrainGracePeriod,
				MaxRetryAfter: policyConfig.MaxRetryAfter, OverloadMultiple: policyConfig.OverloadMultiple, LoadReportFields: policyConfig.LoadReportFields, MemoryPrice: policyConfig.MemoryPrice, MemoryMB: policyConfig.WorkerMemoryMB}
			for _, class := range policyConfig.Classes {
				got.Idempotency = append(got.Idempotency, class.Idempotency)
			}
			for _, tenant := range policyConfig.Tenants {
				got.TenantRates = append(got.TenantRates, tenant.RequestsPerSecond)
			}
			if diff := cmp.Diff(d.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// An end-to-end test over sockets, for each class of each deployment: a request is forwarded as the client sent it. A
// request that was not run is retried at another worker with the same id and idempotency key. A request that may have
// run is retried only if its class allows it.
func TestDeploymentsClassesFromSocketToSocket(t *testing.T) {
	const idempotencyKey = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			p := startDeployment(t, d)
			n := uint64(0)
			requestOfClass := func(class int) fake.Request {
				n++
				k := fake.Request{Class: p.cfg.ClassNames()[class], ID: fmt.Sprintf("%016x", n), FunctionKey: fmt.Sprintf("%016x", 0x7f3a+n), Timeout: 2 * time.Second,
					Properties: "memory_mb:300;lanes:2;load_ms:400;later:1", Body: []byte("lamp"), Tenant: d.tenant, ExtraFields: []fake.Field{{Name: "later", Value: "ignored"}}}
				if p.cfg.Policy.Classes[class].Idempotency == policy.IdempotentWithKey {
					k.IdempotencyKey = idempotencyKey
				}
				return k
			}
			hitResponse := func(int) (string, string) { return "HIT", "detail=hot,crowd=2,use=" + d.loadReport + ",later=1" }
			for class, k := range p.cfg.Policy.Classes {
				request := requestOfClass(class)
				response, runs := p.send(t, request, hitResponse)
				if response.Status != "served" || string(response.Body) != "done lamp" || len(runs) != 1 {
					t.Fatalf("class %d: %+v after %d runs", class, response, len(runs))
				}
				budget, err := strconv.Atoi(runs[0].Fields["budget"])
				if err != nil || budget <= 0 || budget > 2000 {
					t.Errorf("class %d: budget %q", class, runs[0].Fields["budget"])
				}
				delete(runs[0].Fields, "budget")
				want := receivedRun{request.ID, "lamp", map[string]string{"queue": request.Class, "path": request.FunctionKey}}
				if request.IdempotencyKey != "" {
					want.Fields["uniq"] = request.IdempotencyKey
				}
				if diff := cmp.Diff(want, runs[0]); diff != "" {
					t.Errorf("class %d: %s", class, diff)
				}
				for _, tt := range []struct {
					workerStatus string
					retried      bool
				}{{"SHED", true}, {"FAULT", k.Idempotency != policy.NotIdempotent}} {
					request := requestOfClass(class)
					response, runs := p.send(t, request, func(n int) (string, string) {
						if n == 1 {
							return tt.workerStatus, "-"
						}
						return hitResponse(n)
					})
					status, attempts := "failed", 1
					if tt.retried {
						status, attempts = "served", 2
					}
					if string(response.Status) != status || len(runs) != attempts {
						t.Errorf("class %d after %s: %s after %d runs", class, tt.workerStatus, response.Status, len(runs))
						continue
					}
					for _, r := range runs {
						if r.ID != request.ID || r.Fields["uniq"] != request.IdempotencyKey || r.Body != "lamp" {
							t.Errorf("class %d after %s: retried as %+v", class, tt.workerStatus, r)
						}
					}
				}
			}
			if p.overlaps > 0 && !p.cfg.Policy.HedgingAllowed {
				t.Errorf("%d attempts were sent while another attempt of the same request was in flight", p.overlaps)
			}
		})
	}
}

// A request with an invalid field fails, is sent to no worker and affects no other request. Invalid fields of a
// response are ignored.
func TestDeploymentsInvalidFields(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			p := startDeployment(t, d)
			n := uint64(0)
			send := func(change func(*fake.Request), fields string) (fake.Response, int) {
				n++
				request := fake.Request{Class: p.cfg.ClassNames()[1], ID: fmt.Sprintf("%016x", n), FunctionKey: "00000000000000aa", Timeout: 2 * time.Second, Tenant: d.tenant, IdempotencyKey: "ab"}
				change(&request)
				response, runs := p.send(t, request, func(int) (string, string) { return "HIT", fields })
				return response, len(runs)
			}
			unchanged := func(*fake.Request) {}
			invalid := map[string]func(*fake.Request){
				"a key that is too long": func(request *fake.Request) {
					request.IdempotencyKey = strings.Repeat("a", router.MaxIdempotencyKeyLength+1)
				},
				"a key that is not hex": func(request *fake.Request) { request.IdempotencyKey = "ab,queue=other" },
				"an unknown class":      func(request *fake.Request) { request.Class = "other" },
				"a malformed wait":      func(request *fake.Request) { request.ExtraFields = []fake.Field{{Name: "wait", Value: "soon"}} },
			}
			if d.tenant != "" {
				invalid["an unknown tenant"] = func(request *fake.Request) { request.Tenant = "nobody" }
				invalid["a keyed request without its key"] = func(request *fake.Request) { request.IdempotencyKey = "" }
			}
			for name, change := range invalid {
				if response, runs := send(change, "detail=hot"); response.Status != "failed" || runs != 0 {
					t.Errorf("%s: %s after %d runs", name, response.Status, runs)
				}
				if response, _ := send(unchanged, "detail=hot"); response.Status != "served" {
					t.Errorf("after %s: %s", name, response.Status)
				}
			}
			for _, fields := range []string{"crowd=-1", "crowd=many", "detail=cold", "use=", "use=util", "use=queue:NaN;util:x", "later", "-", ""} {
				if response, runs := send(unchanged, fields); response.Status != "served" || runs != 1 {
					t.Errorf("response with %q: %s after %d runs", fields, response.Status, runs)
				}
			}
		})
	}
}
