package routing

// Put replaces the configuration if its version is higher than the one in force.
type Put struct {
	Config   Config `cbor:"1,keyasint"`
	Document []byte `cbor:"2,keyasint"` // what the operator sent, byte for byte
}

// PutReply tells which version is in force after a Put.
type PutReply struct {
	Version  uint64 `cbor:"1,keyasint"`
	Replaced bool   `cbor:"2,keyasint"`
}

// Book is the replicated configuration of a group.
type Book struct {
	image Image
}

// Image is a Book in a snapshot.
type Image struct {
	Config   Config `cbor:"1,keyasint"`
	Document []byte `cbor:"2,keyasint"`
}

// NewBook returns the book of an image.
func NewBook(im Image) *Book { return &Book{image: im} }

// Image returns the book's content for a snapshot.
func (bo *Book) Image() Image { return bo.image }

// Put applies pu. A version that is not higher changes nothing and is no error:
// the operator may send an older change again.
func (bo *Book) Put(pu Put) PutReply {
	if pu.Config.Version <= bo.image.Config.Version {
		return PutReply{Version: bo.image.Config.Version}
	}
	bo.image = Image(pu)

	return PutReply{Version: pu.Config.Version, Replaced: true}
}

// Config returns the configuration in force, its version 0 before the first one.
func (bo *Book) Config() *Config { return &bo.image.Config }

// Document returns the configuration in force as the operator sent it.
func (bo *Book) Document() []byte { return bo.image.Document }
