package wire

// MethodOperator carries an operator's question from the host that was asked to the host that it concerns.
const MethodOperator = "operator"

// OperatorAction is what an operator wants from one host.
type OperatorAction string

// Actions.
const (
	ActionStatus  OperatorAction = "status"
	ActionState   OperatorAction = "state"
	ActionRefusal OperatorAction = "refusal" // Argument is the request id
	ActionDrain   OperatorAction = "drain"
	ActionUndrain OperatorAction = "undrain"
)

// OperatorQuery asks for an action.
type OperatorQuery struct {
	Action   OperatorAction `cbor:"1,keyasint"`
	Argument string         `cbor:"2,keyasint,omitempty"`
	Operator string         `cbor:"3,keyasint,omitempty"` // for the log
}

// OperatorResponse carries the JSON document that the operator port of the host would give.
type OperatorResponse struct {
	Status int    `cbor:"1,keyasint"` // HTTP status
	JSON   []byte `cbor:"2,keyasint"`
}
