package runner

import (
	"context"
	"time"

	"github.com/peppertrack/peppertrack/internal/declarer"
	"github.com/peppertrack/peppertrack/internal/dispatcher"
	"github.com/peppertrack/peppertrack/internal/enroller"
	"github.com/peppertrack/peppertrack/internal/identifier"
	"github.com/peppertrack/peppertrack/internal/placer"
	"github.com/peppertrack/peppertrack/internal/platformcaller"
)

// watchVMs reads the platform's list of VMs at intervals. While it can't be read,
// the last one remains in force.
func (r *Runner) watchVMs(ctx context.Context) error {
	ticker := time.NewTicker(r.opts.Settings.Platform.VMListInterval)
	defer ticker.Stop()
	for {
		r.readVMs(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (r *Runner) readVMs(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.opts.Settings.Platform.Timeout)
	defer cancel()
	vms, err := r.platform.VMs(ctx)
	r.reachable.Store(err == nil)
	r.dispatchQueue.put(dispatcher.PlatformReachable{Reachable: err == nil})
	if err != nil {
		return
	}
	backends := backendsOf(vms)
	r.dispatchQueue.put(dispatcher.BackendsListed{Backends: backends})
	if len(backends) > 0 {
		r.knowsBackends.Store(true)
	}
	r.listRevision++
	r.rosterQueue.put(enroller.VMListRead{Revision: r.listRevision, VMs: entryVMsOf(vms)})
}

func entryVMsOf(vms []platformcaller.VM) []identifier.VMID {
	var ids []identifier.VMID
	for _, vm := range vms {
		if vm.Kind == platformcaller.EntryVM {
			ids = append(ids, identifier.VMID(vm.ID))
		}
	}
	return ids
}

func backendsOf(vms []platformcaller.VM) []placer.Backend {
	listed := make([]placer.Backend, 0, len(vms))
	for _, vm := range vms {
		if vm.Kind != platformcaller.BackendServer {
			continue
		}
		listed = append(listed, placer.Backend{
			ID:           identifier.BackendID(vm.ID),
			Domain:       vm.FailureDomain,
			Rack:         vm.Rack,
			Address:      vm.Address,
			Slots:        vm.Slots,
			Connections:  vm.Connections,
			Millicores:   vm.Millicores,
			Memory:       vm.Memory,
			Accelerators: declarer.Accelerators(vm.Accelerators),
			Leaving:      vm.State == platformcaller.Leaving,
		})
	}
	return listed
}
