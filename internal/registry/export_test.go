package registry

// Rebuild makes the next call of Live look at every backend server.
func (me *MergedView) Rebuild() {
	me.isAllStale, me.live = true, nil
}
