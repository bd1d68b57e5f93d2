package routing

// Put is a request to replace the configuration. It takes effect only if its version
// is higher than the one in force.
type Put struct {
	Config   Config `cbor:"1,keyasint"`
	Document []byte `cbor:"2,keyasint"` // what the operator sent, byte for byte
}

// PutReply reports the version in force after a Put, and whether the Put took effect.
type PutReply struct {
	Version  uint64 `cbor:"1,keyasint"`
	Replaced bool   `cbor:"2,keyasint"`
}

// Book holds the configuration in force, replicated in a group.
type Book struct {
	image Image
}

// Image is the content of a Book, as stored in a snapshot.
type Image struct {
	Config   Config `cbor:"1,keyasint"`
	Document []byte `cbor:"2,keyasint"`
}

// NewBook returns a book with the content of an image.
func NewBook(im Image) *Book { return &Book{image: im} }

// Image returns the book's content for a snapshot.
func (bo *Book) Image() Image { return bo.image }

// Put applies pu. A version that is not higher is ignored and is not an error, as
// operators may send an older configuration again.
func (bo *Book) Put(pu Put) PutReply {
	if pu.Config.Version <= bo.image.Config.Version {
		return PutReply{Version: bo.image.Config.Version}
	}
	bo.image = Image(pu)

	return PutReply{Version: pu.Config.Version, Replaced: true}
}

// Config returns the configuration in force. Its version is 0 before the first Put.
func (bo *Book) Config() *Config { return &bo.image.Config }

// Document returns the configuration in force as the operator sent it.
func (bo *Book) Document() []byte { return bo.image.Document }
