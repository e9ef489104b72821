package statement

// Type is the type of a column or parameter.
type Type int

// Types of columns and parameters.
const (
	Text Type = iota
	Int8
	Float8
)

// Column is a column of a table.
type Column struct {
	Name string
	Type Type
}

// Tables holds the columns of the stand-in's tables by table name. The first column is the primary key.
var Tables = map[string][]Column{
	"accounts": {{"id", Text}, {"balance", Int8}},
	"orders":   {{"id", Text}, {"team", Text}, {"user", Text}, {"note", Text}},
}

// Error is a failure with its SQLSTATE.
type Error struct {
	Code    string
	Message string
}

// Error returns the message and the SQLSTATE.
func (e *Error) Error() string {
	return e.Message + " (SQLSTATE " + e.Code + ")"
}

// Value is a literal, or the parameter with the number Param if that is above 0.
type Value struct {
	Param   int
	Literal string
	Type    Type
}

// Equal is the condition that a column has a value, or, in an Insert, the value of a column.
type Equal struct {
	Column int
	Value  Value
}

// Statement is implemented by the statement types of this package.
type Statement interface {
	statement()
}

type (
	// Empty is a query without a statement.
	Empty struct{}
	// Select reads the rows that meet all conditions, ordered by id. A negative Limit returns all rows.
	Select struct {
		Table   string
		Columns []int
		Count   bool
		Where   []Equal
		Limit   int
	}
	// Insert adds rows. Columns that are not named are empty.
	Insert struct {
		Table string
		Rows  [][]Equal
		// Ignore skips rows whose id already exists.
		Ignore bool
	}
	// Update sets a column of one row, or adds a value to it.
	Update struct {
		Table  string
		Column int
		Value  Value
		// Sign is 0 to set the value, 1 to add it and -1 to subtract it.
		Sign int
		ID   Value
	}
	// Delete removes one row.
	Delete struct {
		Table string
		ID    Value
	}
	// Literal returns one row with the given values.
	Literal struct {
		Values []Value
	}
	// Call calls one of Functions, or reads pg_stat_replication.
	Call struct {
		Name string
		Args []Value
	}
	// Begin opens a transaction.
	Begin struct {
		ReadOnly  bool
		ReadWrite bool
	}
	// Commit ends a transaction.
	Commit struct{}
	// Rollback ends a transaction and discards its writes.
	Rollback struct{}
	// Set changes a setting of the connection.
	Set struct {
		Name, Value string
	}
	// Show returns a setting.
	Show struct {
		Name string
	}
	// Discard resets the state of the connection.
	Discard struct{}
	// Deallocate drops a prepared statement, or all if Name is empty.
	Deallocate struct {
		Name string
	}
)

func (Empty) statement()      {}
func (Select) statement()     {}
func (Insert) statement()     {}
func (Update) statement()     {}
func (Delete) statement()     {}
func (Literal) statement()    {}
func (Call) statement()       {}
func (Begin) statement()      {}
func (Commit) statement()     {}
func (Rollback) statement()   {}
func (Set) statement()        {}
func (Show) statement()       {}
func (Discard) statement()    {}
func (Deallocate) statement() {}

// Functions holds the types of the arguments of each function that a statement may call, by function name.
var Functions = map[string][]Type{
	"pg_sleep":               {Float8},
	"pg_current_wal_lsn":     nil,
	"pg_last_wal_replay_lsn": nil,
	"pg_is_in_recovery":      nil,
	"tamarack_state":         nil,
	"tamarack_fence":         {Int8},
	"tamarack_drain":         {Int8},
	"tamarack_follow":        {Text, Int8},
	"pg_promote":             {Int8},
}
