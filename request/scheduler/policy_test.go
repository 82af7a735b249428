package scheduler

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/version/parser"
)

const (
	siteDaemons     = 6
	sitePrefills    = 4
	siteDecodes     = 6
	siteSeconds     = 60
	siteWarmup      = 5 * time.Second
	siteFaultAt     = 25 * time.Second
	stallFor        = 10 * time.Second
	firstTokenBound = 1300 * time.Millisecond
	tokenGapBound   = 61 * time.Millisecond
	gapShare        = 0.95
	siteSeeds       = 5
	model           = identifier.ModelName("m")
)

// row is one condition under which the policies are compared.
type row struct {
	name      string
	reportLag time.Duration
	eventGaps bool
	stall     bool
	kill      bool
	// wasted is the target for this policy's wasted prefills, as a share.
	wasted float64
}

var rows = []row{
	{name: "no fault", wasted: 0.01},
	{name: "reports 1 s late", reportLag: time.Second, wasted: 0.03},
	{name: "events with 20% gaps", eventGaps: true, wasted: 0.03},
	{name: "a stalled link", stall: true, wasted: 0.03},
	{name: "an engine killed", kill: true, wasted: 0.03},
}

// client is a workspace with the load it offers.
type client struct {
	name      identifier.WorkspaceName
	perSecond float64
	// allowed is the part of its requests that is inside its rate.
	allowed    float64
	class      parser.Class
	prompt     [2]int
	output     [2]int
	sheets     int
	firstToken time.Duration
}

// rate is the workspace's rate in tokens a second, which its load just fills.
func (c client) rate() identifier.Tokens {
	mean := float64(c.prompt[0]+c.prompt[1]+c.output[0]+c.output[1]) / 2
	return identifier.Tokens(c.perSecond * c.allowed * mean)
}

var clients = []client{
	{"large-chat", 8, 1, parser.ClassInteractive, [2]int{200, 2000}, [2]int{20, 150}, 0, firstTokenBound},
	{"large-summaries", 2, 1, parser.ClassBatch, [2]int{4000, 16000}, [2]int{150, 300}, 12, 30 * time.Second},
	{"medium-chat", 5.5, 1, parser.ClassInteractive, [2]int{200, 4000}, [2]int{20, 150}, 6, firstTokenBound},
	{"small-chat", 1.4, 1, parser.ClassInteractive, [2]int{200, 1000}, [2]int{20, 100}, 0, firstTokenBound},
	{"noisy-chat", 22, 0.25, parser.ClassInteractive, [2]int{200, 2000}, [2]int{20, 150}, 0, firstTokenBound},
}

// score is what one policy reached under one condition.
type score struct {
	goodput float64
	wasted  float64
	worst   float64
	mean    float64
	refused float64
}

func measure(r row, p policy) score {
	good := make(map[identifier.WorkspaceName]float64)
	all := make(map[identifier.WorkspaceName]float64)
	var prefills, wasted, refused, total, served float64
	for seed := range uint64(siteSeeds) {
		s := newSite(seed+1, r, p)
		for _, j := range s.run() {
			all[j.client.name]++
			total++
			if j.isGood() {
				good[j.client.name]++
				served++
			}
			if j.refused {
				refused++
			}
		}
		for _, pre := range s.prefills {
			prefills += float64(pre.prefills)
			wasted += float64(pre.wasted)
		}
	}
	result := score{goodput: served / total, wasted: wasted / prefills, refused: refused / total, worst: 1}
	if os.Getenv("BENCH_EACH") != "" {
		for _, c := range clients {
			fmt.Printf("    %s %s: %.1f%%\n", r.name, c.name, 100*good[c.name]/all[c.name])
		}
	}
	for name, n := range all {
		result.worst = min(result.worst, good[name]/n)
		result.mean += good[name] / n / float64(len(all))
	}
	return result
}

// TestPolicyReport compares the policy with baselines on the same fakes, and
// with daemons that each plan alone. BENCH_ONLY picks one policy, BENCH_EACH
// prints each workspace.
func TestPolicyReport(t *testing.T) {
	lines := []string{fmt.Sprintf("%-21s %-20s %8s %8s %8s %8s %8s", "", "", "goodput", "wasted", "worst", "mean", "refused")}
	for _, r := range rows {
		var own score
		for i, p := range policies {
			if only := os.Getenv("BENCH_ONLY"); only != "" && only != p.name {
				continue
			}
			got := measure(r, p)
			lines = append(lines, fmt.Sprintf("%-21s %-20s %7.2f%% %7.2f%% %7.2f%% %7.2f%% %7.2f%%", r.name, p.name,
				100*got.goodput, 100*got.wasted, 100*got.worst, 100*got.mean, 100*got.refused))
			if i == 0 {
				own = got
				checkOwn(t, r, own)
			} else if own.goodput < got.goodput {
				t.Errorf("%s: goodput %.4f is below that of %s, %.4f", r.name, own.goodput, p.name, got.goodput)
			}
		}
	}
	t.Log("\n" + strings.Join(lines, "\n"))
}

func checkOwn(t *testing.T, r row, own score) {
	const worstWithin = 0.9
	if own.wasted >= r.wasted {
		t.Errorf("%s: wasted prefill %.4f, the target is %.2f", r.name, own.wasted, r.wasted)
	}
	if own.worst < worstWithin*own.mean {
		t.Errorf("%s: the worst-served workspace has %.4f, the mean is %.4f", r.name, own.worst, own.mean)
	}
}
