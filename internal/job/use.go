package job

// Use is an upper estimate of the memory that jobs take, in bytes.
type Use struct {
	Total     int // with results and progress
	Submitted int // items whose results are not listed
	Own       int // those of one workspace
}

// Use returns what all jobs take, and the part of one workspace.
func (le *Ledger) Use(workspace string) Use {
	return Use{Total: le.uses.total, Submitted: le.uses.submitted, Own: le.uses.own[workspace]}
}

// uses counts what the jobs of a ledger take.
type uses struct {
	total     int
	submitted int
	own       map[string]int // submitted, by workspace
}

func newUses(jobs map[string]*Job) uses {
	us := uses{own: map[string]int{}}
	for _, jo := range jobs {
		us.add(jo, +1)
	}

	return us
}

// add adds a job, or removes it if sign is negative.
func (us *uses) add(jo *Job, sign int) {
	us.addSubmitted(jo, sign*jo.SubmittedBytes())
	us.total += sign * jo.resultBytes()
}

// addSubmitted adds bytes of items of a job whose results are not listed.
func (us *uses) addSubmitted(jo *Job, n int) {
	us.total += n
	us.submitted += n
	if us.own[jo.Spec.Workspace] += n; us.own[jo.Spec.Workspace] == 0 {
		delete(us.own, jo.Spec.Workspace)
	}
}

// SubmittedBytes returns an upper estimate of the memory that the items of a job take whose results are
// not listed.
func (jo *Job) SubmittedBytes() int {
	n := jobOverhead
	for i := range jo.Spec.Items {
		if !jo.Listed[i] {
			n += jo.Spec.Items[i].Bytes()
		}
	}

	return n
}

// resultBytes returns an upper estimate of the memory that the listed items, the results and the progress
// of a job take.
func (jo *Job) resultBytes() int {
	n := 0
	for i := range jo.Spec.Items {
		if jo.Listed[i] {
			n += jo.Spec.Items[i].listedBytes()
		}
	}
	for i := range jo.Results {
		n += jo.Results[i].bytes()
	}
	for _, pa := range jo.Partial {
		n += pa.bytes()
	}

	return n
}

// listedBytes returns an upper estimate of the memory that an item takes after its result is listed.
func (it *Item) listedBytes() int { return itemOverhead + len(it.ID) + len(it.Path) + len(it.Group) }

func (re *Result) bytes() int { return itemOverhead/2 + len(re.Text) }

func (pa *Partial) bytes() int {
	n := itemOverhead
	for _, ev := range pa.Events {
		n += headerBytes + len(ev)
	}

	return n
}
