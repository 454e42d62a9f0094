package elector

import (
	"slices"
	"time"
)

// FormerHolder is a process that held a lease before its present holder.
type FormerHolder struct {
	// Holder is the name of the process. It is empty if the rows that told who it was are
	// lost: any process may have held the lease then.
	Holder string `json:"holder"`

	// Age is a lower bound of the time since the process last held the lease, in ms.
	Age int64 `json:"age"`
}

// formerHolders returns the former holders of a lease after its acquisition by process name
// at the time now from the observed row. Those that last held it a lease duration ago or
// more are left out.
func (e *Elector) formerHolders(o *observedLease, name string, now time.Duration) []FormerHolder {
	out := aged(o.lease.Former, now-o.since, e.settings.Duration)
	last := FormerHolder{Holder: o.lease.Holder, Age: (now - o.since).Milliseconds()}
	if !o.lease.Released {
		// The holder counts its lease from before the row had this version.
		last.Age = max(0, last.Age-(e.settings.Duration-e.settings.Margin).Milliseconds())
	}
	if last.Holder != "" {
		out = withFormer(out, last, e.settings.Duration)
	}
	if o.outdated {
		out = withFormer(out, FormerHolder{Age: max(0, (now - o.since - e.settings.Duration + e.settings.Margin).Milliseconds())}, e.settings.Duration)
	}
	return slices.DeleteFunc(out, func(f FormerHolder) bool { return f.Holder == name })
}

// withFormer adds a former holder, in place of an entry with the same name.
func withFormer(list []FormerHolder, f FormerHolder, kept time.Duration) []FormerHolder {
	list = slices.DeleteFunc(list, func(o FormerHolder) bool { return o.Holder == f.Holder })
	if f.Age >= kept.Milliseconds() {
		return list
	}
	return append(list, f)
}

// aged returns former holders after a further time d, without those whose age is then at
// least kept.
func aged(list []FormerHolder, d, kept time.Duration) []FormerHolder {
	var out []FormerHolder
	for _, f := range list {
		f.Age += d.Milliseconds()
		if f.Age < kept.Milliseconds() {
			out = append(out, f)
		}
	}
	return out
}

// returnWait returns the time for which a process must leave the lease alone after its row
// was read, as it may have held the lease before the present holder. Without the wait, two
// processes could use the lease in the order A, B, A within its duration. The last holder
// of a released lease does not wait, as nobody has used it since.
func (e *Elector) returnWait(l Lease) time.Duration {
	var wait time.Duration
	for _, f := range l.Former {
		if f.Holder == e.settings.Name || f.Holder == "" && l.Holder != e.settings.Name {
			wait = max(wait, e.settings.Duration-time.Duration(f.Age)*time.Millisecond)
		}
	}
	return wait
}
