package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against refusals whose log lines can't be told apart.
func TestLateRefusalNamesItsObstacle(t *testing.T) {
	start := time.Unix(1000, 0)
	d := testDispatcher("edge-0", testView(1, 1))
	idle := candidate{target: &target{}, hasRoom: true}
	for _, c := range []struct {
		want      Obstacle
		candidate candidate
		waited    time.Duration
	}{
		{NoRoom, candidate{target: &target{}}, 0},
		{OnlyLate, candidate{target: &target{}, hasRoom: true, wait: time.Second, firstToken: time.Second}, 0},
		{OverShare, idle, 200 * time.Millisecond},
	} {
		t.Run(string(c.want), func(t *testing.T) {
			is, r := is.New(t), promptRequest(d, "a", 1, 100, 100, start)
			is.Equal(d.obstacle(r, c.candidate, start.Add(c.waited)), c.want)
			is.Equal(d.overdue(r, start.Add(c.waited)), max(0, c.waited-d.maxWait(r)))
		})
	}
}
