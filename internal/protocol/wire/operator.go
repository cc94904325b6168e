package wire

// MethodOperator is the method that forwards an operator's query from the host that received it to the host that it concerns.
const MethodOperator = "operator"

// OperatorAction is the kind of an operator's query.
type OperatorAction string

// Values of OperatorAction.
const (
	ActionStatus  OperatorAction = "status"
	ActionState   OperatorAction = "state"
	ActionRefusal OperatorAction = "refusal" // Argument is the request id
	ActionDrain   OperatorAction = "drain"
	ActionUndrain OperatorAction = "undrain"
)

// OperatorQuery requests an action of one host.
type OperatorQuery struct {
	Action   OperatorAction `cbor:"1,keyasint"`
	Argument string         `cbor:"2,keyasint,omitempty"`
	Operator string         `cbor:"3,keyasint,omitempty"` // for the log
}

// OperatorResponse contains the response that the operator port of the host would send.
type OperatorResponse struct {
	Status int    `cbor:"1,keyasint"` // HTTP status
	JSON   []byte `cbor:"2,keyasint"`
}
