package fleetdispatcher

// takeRetries takes n retries from the budget for a request, or none. It reports whether it has.
func (d *Dispatcher) takeRetries(j *job, n int) bool {
	for range n {
		if !d.RetryBudgets.Retry(j.group.Name) {
			d.settle(j)
			return false
		}
		j.credits++
	}
	return true
}

// takeRetry takes a retry for a request: one that has been taken from the budget before, or
// one from the budget.
func (d *Dispatcher) takeRetry(j *job) bool {
	if j.credits > 0 {
		j.credits--
		return true
	}
	return d.RetryBudgets.Retry(j.group.Name)
}

// readmitSilent makes the targets that were left for silence eligible again. It returns false if
// there are none.
func (j *job) readmitSilent() bool {
	found := len(j.silent) > 0
	for _, id := range j.silent {
		delete(j.excluded, id)
	}
	j.silent = nil
	return found
}

// settle releases what is reserved for further attempts of a request that has ended.
func (d *Dispatcher) settle(j *job) {
	if j.replacement != nil {
		d.discard(j.replacement)
		j.replacement = nil
	}
	if j.successor != nil {
		d.Router.Unpick(j.successor.ID)
		j.successor = nil
	}
	for ; j.credits > 0; j.credits-- {
		d.RetryBudgets.Return(j.group.Name)
	}
}
