package platformcaller_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/peppertrack/peppertrack/internal/platformcaller"
)

func TestLeaseLapsesUnlessKeptAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := platformcaller.NewFakeService(platformcaller.FakeOptions{})
		defer m.Close()
		lease, err := m.Grant(t.Context(), 10*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(9 * time.Second)
		if err := m.KeepAlive(t.Context(), lease); err != nil {
			t.Fatal(err)
		}
		time.Sleep(9 * time.Second)
		if err := m.KeepAlive(t.Context(), lease); err != nil {
			t.Fatal(err)
		}
		time.Sleep(11 * time.Second)
		expectError[*platformcaller.LeaseLapsedError](t, m.KeepAlive(t.Context(), lease))
	})
}

func TestWatchWaitsForItsBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := platformcaller.NewFakeService(platformcaller.FakeOptions{MaxWatchWait: time.Minute})
		defer m.Close()
		before := time.Now()
		if _, err := m.Watch(t.Context(), "k", 0); err != nil {
			t.Fatal(err)
		}
		if got := time.Since(before); got != time.Minute {
			t.Errorf("waited %v, want a minute", got)
		}
	})
}

func TestSlowSwapTakesEffectHalfWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := platformcaller.NewFakeService(platformcaller.FakeOptions{})
		defer m.Close()
		m.SetFaults(platformcaller.Faults{Delay: 10 * time.Second})
		done := make(chan error, 1)
		go func() {
			_, err := m.CompareAndSwap(t.Context(), "k", 0, []byte("one"))
			done <- err
		}()
		time.Sleep(6 * time.Second)
		m.SetFaults(platformcaller.Faults{})
		if v, err := m.Get(t.Context(), "k"); err != nil || v.Revision == 0 {
			t.Errorf("got %v, %v after half the delay", v, err)
		}
		select {
		case err := <-done:
			t.Errorf("responded before the delay was over: %v", err)
		default:
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

func TestListLagsBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lag = 5 * time.Second
		m := platformcaller.NewFakeService(platformcaller.FakeOptions{ListLag: lag})
		defer m.Close()
		vm := platformcaller.VM{ID: "b", Kind: platformcaller.BackendServer, FailureDomain: "a", Address: "127.0.0.1:1", State: platformcaller.Live}
		expectStates := func(want ...platformcaller.VMState) {
			t.Helper()
			vms, err := m.VMs(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if len(vms) != len(want) || len(vms) > 0 && vms[0].State != want[0] {
				t.Errorf("got %v, want states %v", vms, want)
			}
		}
		register := func(state platformcaller.VMState) {
			t.Helper()
			vm.State = state
			if err := m.Register(t.Context(), []platformcaller.VM{vm}, 20*time.Second); err != nil {
				t.Fatal(err)
			}
		}
		register(platformcaller.Live)
		expectStates()
		time.Sleep(lag)
		expectStates(platformcaller.Live)
		register(platformcaller.Leaving)
		expectStates(platformcaller.Live)
		time.Sleep(lag)
		expectStates(platformcaller.Leaving)
		time.Sleep(16 * time.Second) // the registration expired a second ago
		expectStates(platformcaller.Leaving)
		time.Sleep(lag)
		expectStates()
	})
}

// TestCallInProgressGetsNoAnswerFromServiceThatGoesDown makes the service go down
// before, at and after the moment at which a slow write takes effect.
func TestCallInProgressGetsNoAnswerFromServiceThatGoesDown(t *testing.T) {
	for _, downAfter := range []time.Duration{3 * time.Second, 5 * time.Second, 7 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			m := platformcaller.NewFakeService(platformcaller.FakeOptions{})
			defer m.Close()
			m.SetFaults(platformcaller.Faults{Delay: 10 * time.Second})
			time.AfterFunc(downAfter, func() { m.SetFaults(platformcaller.Faults{Down: true}) })
			read := make(chan error, 1)
			go func() {
				_, err := m.Get(t.Context(), "k")
				read <- err
			}()
			_, err := m.CompareAndSwap(t.Context(), "k", 0, []byte("one"))
			expectError[*platformcaller.OutcomeUnknownError](t, err)
			expectError[*platformcaller.UnavailableError](t, <-read)
		})
	}
}
