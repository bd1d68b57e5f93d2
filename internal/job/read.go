package job

import (
	"time"

	"github.com/tamarackbay/tamarackbay/internal/result"
)

// MaxPageBytes bounds the bytes of the texts in one page of results.
const MaxPageBytes = 900 << 10 // clients accept 1 MB, including the field names

// Read is a request for the results of a job, starting at position From.
type Read struct {
	Key       string        `cbor:"-"` // API key of the caller; the gateway maps it to the workspace
	Workspace string        `cbor:"1,keyasint"`
	Job       string        `cbor:"2,keyasint"`
	From      int           `cbor:"3,keyasint"`
	Wait      time.Duration `cbor:"4,keyasint"` // maximum wait for a first result
}

// Listed is a result as clients read it.
type Listed struct {
	Item     string   `cbor:"1,keyasint"` // ID of the item
	State    State    `cbor:"2,keyasint"`
	Text     string   `cbor:"3,keyasint"`
	Versions []uint64 `cbor:"4,keyasint"`
	Score    string   `cbor:"5,keyasint"`
}

// Page is a range of consecutive results.
type Page struct {
	Total   int      `cbor:"1,keyasint"` // number of items of the job
	Next    int      `cbor:"2,keyasint"` // position after the last result of this page
	Results []Listed `cbor:"3,keyasint"`
}

// Page returns results from a position on, up to MaxPageBytes but at least one if
// there is one.
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

// Body returns the request body of an item that is not listed yet.
func (jo *Job) Body(item string) ([]byte, error) {
	for i := range jo.Spec.Items {
		if jo.Spec.Items[i].ID == item && !jo.Listed[i] {
			return jo.Spec.Items[i].Body, nil
		}
	}

	return nil, result.New(result.UnknownObject, "job %s has no unlisted item %q", jo.Spec.ID, item)
}
