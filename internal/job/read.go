package job

import (
	"time"

	"github.com/tamarackbay/tamarackbay/internal/result"
)

// MaxPageBytes bounds the texts of one page of results.
const MaxPageBytes = 900 << 10 // clients take 1 MB, of which the names of the fields are a part

// Read asks for the results of a job from a position on.
type Read struct {
	Key       string        `cbor:"-"` // of the caller; the gateway turns it into the workspace
	Workspace string        `cbor:"1,keyasint"`
	Job       string        `cbor:"2,keyasint"`
	From      int           `cbor:"3,keyasint"`
	Wait      time.Duration `cbor:"4,keyasint"` // how long to wait for a first result
}

// Listed is one result as it is read.
type Listed struct {
	Item     string   `cbor:"1,keyasint"` // ID
	State    State    `cbor:"2,keyasint"`
	Text     string   `cbor:"3,keyasint"`
	Versions []uint64 `cbor:"4,keyasint"`
	Score    string   `cbor:"5,keyasint"`
}

// Page is a part of the results.
type Page struct {
	Total   int      `cbor:"1,keyasint"` // items of the job
	Next    int      `cbor:"2,keyasint"` // position after the last result here
	Results []Listed `cbor:"3,keyasint"`
}

// Page returns the results from a position on, at least one if there is one.
func (jo *Job) Page(from int) *Page {
	pa := &Page{Total: len(jo.Spec.Items), Next: from, Results: []Listed{}}
	size := 0
	for i := max(from, 0); i < len(jo.Results); i++ {
		re := &jo.Results[i]
		size += len(re.Text)
		if size > MaxPageBytes && len(pa.Results) > 0 {
			break
		}
		pa.Results = append(pa.Results, Listed{
			Item: jo.Spec.Items[re.Item].ID, State: re.State, Text: re.Text, Versions: re.Versions, Score: re.Score,
		})
		pa.Next = i + 1
	}

	return pa
}

// Body returns the body of an item that is not listed, while the job is open.
func (jo *Job) Body(item string) ([]byte, error) {
	for i := range jo.Spec.Items {
		if jo.Spec.Items[i].ID == item && !jo.Listed[i] {
			return jo.Spec.Items[i].Body, nil
		}
	}

	return nil, result.New(result.UnknownObject, "job %s: no item %q waits", jo.Spec.ID, item)
}
