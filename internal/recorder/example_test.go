package recorder_test

import (
	"fmt"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"peridotpitch/internal/recorder"
)

func ExampleRecorder_Explain() {
	r, remove, err := recorder.New(recorder.Options{}, slog.New(slog.DiscardHandler), prometheus.NewRegistry())
	if err != nil {
		fmt.Println(err)
		return
	}
	defer remove()
	r.Add(recorder.Record{
		Time: time.Unix(1_800_000_000, 0), Kind: recorder.KindPlace, Job: "tuba-17", Worker: "malolos-w3",
		Cause: "submitted", Rule: "LeastInterference", Outcome: "assigned", Generation: 12, SignedBy: "rosa",
		Candidates: []recorder.Candidate{
			{Name: "malolos-w3", Figures: []recorder.Figure{{Name: "FreeCores", Value: 6.5}, {Name: "Score", Value: 0.12}}, Age: 800 * time.Millisecond},
			{Name: "malolos-w1", Age: 12 * time.Second, Rejected: "without a recent report"},
		},
	})
	for _, d := range r.Explain("malolos-w3") {
		fmt.Print(recorder.Render(d))
	}
	// Output:
	// 2027-01-15T08:00:00.000Z Decision=1 Kind=place Job=tuba-17 Worker=malolos-w3 Cause=submitted Rule=LeastInterference Outcome=assigned Generation=12 SignedBy=rosa
	//   Candidate=malolos-w3 FreeCores=6.5 Score=0.12 Age=800ms
	//   Candidate=malolos-w1 Age=12s Rejected="without a recent report"
}
