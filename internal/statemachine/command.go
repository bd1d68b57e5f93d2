package statemachine

import (
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"

	"github.com/tamarackbay/tamarackbay/internal/result"
)

// Kind is the type of a command in the log.
type Kind uint8

// Kinds of commands. Each command is idempotent through a key of its own domain, so
// that it may be proposed again after a lost reply.
const (
	KindPatch Kind = iota + 1
	KindAcquireLease
	KindRenewLease
	KindReleaseLease
	KindOpenIntent
	KindSettleIntent
	KindOpenStep
	KindWins
	KindFormPage
	KindAckPage
	KindResetLost
	KindChangeDriver
	KindBeginCall
	KindEndCall
	KindAbandonCall
	KindAddUsage
	KindCloseWindow
	KindMarkReported
	KindRecordCrash
	KindClearSuspect
	KindReleaseQuarantine
	KindRegister
	KindPutRouting
	KindRecordVersion
	KindAnnounceMember
	KindFormStores
	KindRetireMember
	KindFinishRetirement
	KindSubmitJob
	KindListResults
	KindEndJob
	KindRecordProgress
	KindChangeEvacuation
	KindTrial
	KindEndTrial
	KindRecordDeparture
)

// commandHeaderBytes is the size of a command's kind (1 byte) and time (8 bytes).
const commandHeaderBytes = 9

// Encode returns an encoded command. Its time is 0 until the leader calls Stamp.
func Encode(kind Kind, body any) ([]byte, error) {
	b, err := cbor.Marshal(body)
	if err != nil {
		return nil, err
	}

	out := make([]byte, commandHeaderBytes, commandHeaderBytes+len(b))
	out[0] = byte(kind)

	return append(out, b...), nil
}

// Stamp sets the time of an encoded command in Unix milliseconds.
func Stamp(command []byte, atMs int64) {
	if len(command) >= commandHeaderBytes {
		binary.LittleEndian.PutUint64(command[1:], uint64(atMs))
	}
}

// reply is the encoded form of the reply to a command.
type reply struct {
	Code       result.Code      `cbor:"1,keyasint,omitempty"`
	Message    string           `cbor:"2,keyasint,omitempty"`
	Execution  result.Execution `cbor:"3,keyasint,omitempty"`
	Body       cbor.RawMessage  `cbor:"4,keyasint,omitempty"`
	RetryAfter int64            `cbor:"5,keyasint,omitempty"`
}

func encodeReply(body any, err error) []byte {
	var re reply
	if err != nil {
		er := result.From(err)
		re.Code, re.Message, re.Execution = er.Code, er.Message, er.Execution
	}
	if body != nil {
		b, merr := cbor.Marshal(body)
		if merr != nil {
			re.Code, re.Message = result.Internal, merr.Error()
		}
		re.Body = b
	}
	b, err := cbor.Marshal(re)
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}

	return b
}

// DecodeReply decodes the reply to a command. It stores the body in out and returns
// the error that the reply holds.
func DecodeReply(b []byte, out any) error {
	var re reply
	if err := cbor.Unmarshal(b, &re); err != nil {
		return result.New(result.Internal, "statemachine: decode reply: %v", err)
	}
	if out != nil && len(re.Body) > 0 {
		if err := cbor.Unmarshal(re.Body, out); err != nil {
			return result.New(result.Internal, "statemachine: decode body of reply: %v", err)
		}
	}
	if re.Code == 0 {
		return nil
	}

	return &result.Error{Code: re.Code, Message: re.Message, Execution: re.Execution}
}
