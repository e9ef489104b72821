package statement

import (
	"slices"
	"strconv"
	"strings"
)

// maxParams is the maximum number of parameters in the PostgreSQL protocol.
const maxParams = 65535

// Parsed is a statement and the types of its parameters.
type Parsed struct {
	Statement Statement
	Params    []Type
}

// replicationColumns holds the tokens of the only column list of pg_stat_replication that the stand-in accepts, with its FROM
// clause.
var replicationColumns = strings.Split("application_name , term , flush_lsn , replay_lsn , age_ms from pg_stat_replication", " ")

type parser struct {
	tokens []token
	params []Type
}

// Parse parses SQL text with statements separated by semicolons. Its errors are of type *Error.
func Parse(sql string) ([]Parsed, error) {
	tokens, err := lex(sql)
	if err != nil {
		return nil, err
	}
	var all []Parsed
	for len(tokens) > 0 {
		end := slices.Index(tokens, token{punct, ";"})
		if end < 0 {
			end = len(tokens)
		}
		if end > 0 {
			p := &parser{tokens: tokens[:end]}
			st, err := p.statement()
			if err != nil {
				return nil, err
			}
			if len(p.tokens) > 0 {
				return nil, p.syntaxError()
			}
			all = append(all, Parsed{st, p.params})
		}
		tokens = tokens[min(end+1, len(tokens)):]
	}
	return all, nil
}

func (p *parser) statement() (Statement, error) {
	switch {
	case p.accept("select"):
		return p.selectRows()
	case p.accept("insert", "into"):
		return p.insert()
	case p.accept("update"):
		return p.update()
	case p.accept("delete", "from"):
		return p.deleteRow()
	case p.accept("begin"), p.accept("start", "transaction"):
		return p.begin()
	case p.accept("commit"), p.accept("end"):
		p.acceptAny("work", "transaction")
		return Commit{}, nil
	case p.accept("rollback"), p.accept("abort"):
		p.acceptAny("work", "transaction")
		return Rollback{}, nil
	case p.accept("set"):
		return p.set()
	case p.accept("show"):
		name := p.remaining()
		return Show{name}, nil
	case p.accept("discard", "all"):
		return Discard{}, nil
	case p.accept("deallocate"):
		p.accept("prepare")
		if p.accept("all") {
			return Deallocate{}, nil
		}
		name, err := p.name()
		return Deallocate{name}, err
	}
	return nil, p.syntaxError()
}

func (p *parser) begin() (Statement, error) {
	p.acceptAny("work", "transaction")
	var b Begin
	for len(p.tokens) > 0 {
		switch {
		case p.accept("read", "only"):
			b.ReadOnly, b.ReadWrite = true, false
		case p.accept("read", "write"):
			b.ReadOnly, b.ReadWrite = false, true
		case p.accept("isolation", "level"):
			p.accept("read")
			p.accept("repeatable")
			p.acceptAny("committed", "uncommitted", "read", "serializable")
		case p.accept(","):
		default:
			return nil, p.syntaxError()
		}
	}
	return b, nil
}

func (p *parser) set() (Statement, error) {
	p.acceptAny("session", "local")
	name, err := p.name()
	if err != nil {
		return nil, err
	}
	for p.accept(".") {
		part, err := p.name()
		if err != nil {
			return nil, err
		}
		name += "." + part
	}
	if !p.accept("to") && !p.accept("=") && name != "time" && name != "transaction" && name != "characteristics" {
		return nil, p.syntaxError()
	}
	return Set{name, p.remaining()}, nil
}

func (p *parser) selectRows() (Statement, error) {
	if call, ok, err := p.call(); ok || err != nil {
		return call, err
	}
	if p.accept("*", "from", "pg_stat_replication") || p.accept(replicationColumns...) {
		return Call{Name: "pg_stat_replication"}, nil
	}
	if p.accept("*", "from") {
		if call, ok, err := p.call(); ok || err != nil {
			return call, err
		}
		return p.from(Select{}, []string{"*"})
	}
	if p.accept("count", "(", "*", ")", "from") {
		return p.from(Select{Count: true}, nil)
	}
	if len(p.tokens) > 0 && (p.tokens[0].kind == word || p.tokens[0].kind == quoted) {
		var columns []string
		for {
			name, err := p.name()
			if err != nil {
				return nil, err
			}
			columns = append(columns, name)
			if !p.accept(",") {
				break
			}
		}
		if !p.accept("from") {
			return nil, p.syntaxError()
		}
		return p.from(Select{}, columns)
	}
	return p.literals()
}

func (p *parser) literals() (Statement, error) {
	var values []Value
	for {
		kind := Text
		if len(p.tokens) > 0 && p.tokens[0].kind != text && p.tokens[0].kind != param {
			kind = Int8
		}
		v, err := p.value(kind)
		if err != nil {
			return nil, err
		}
		values = append(values, v)
		if !p.accept(",") {
			return Literal{values}, nil
		}
	}
}

// call parses the call of one of Functions. It returns false if the next tokens are not a function call.
func (p *parser) call() (Statement, bool, error) {
	if len(p.tokens) < 2 || p.tokens[0].kind != word || p.tokens[1] != (token{punct, "("}) || p.tokens[0].text == "count" {
		return nil, false, nil
	}
	c := Call{Name: p.tokens[0].text}
	types, known := Functions[c.Name]
	if !known {
		return nil, false, &Error{"42883", "function " + c.Name + " does not exist"}
	}
	p.tokens = p.tokens[2:]
	for i, t := range types {
		if i > 0 && !p.accept(",") {
			return nil, false, p.syntaxError()
		}
		v, err := p.value(t)
		if err != nil {
			return nil, false, err
		}
		c.Args = append(c.Args, v)
	}
	if !p.accept(")") {
		return nil, false, p.syntaxError()
	}
	return c, true, nil
}

func (p *parser) from(s Select, columns []string) (Statement, error) {
	table, err := p.table()
	if err != nil {
		return nil, err
	}
	s.Table = table
	if slices.Equal(columns, []string{"*"}) {
		columns = nil
		for _, c := range Tables[table] {
			columns = append(columns, c.Name)
		}
	}
	for _, name := range columns {
		i, err := column(table, name)
		if err != nil {
			return nil, err
		}
		s.Columns = append(s.Columns, i)
	}
	if s.Where, err = p.where(table); err != nil {
		return nil, err
	}
	if p.accept("order", "by", "id") {
		p.accept("asc")
	}
	s.Limit = -1
	if p.accept("limit") {
		if len(p.tokens) == 0 || p.tokens[0].kind != number {
			return nil, p.syntaxError()
		}
		if s.Limit, err = strconv.Atoi(p.tokens[0].text); err != nil {
			return nil, p.syntaxError()
		}
		p.tokens = p.tokens[1:]
	}
	return s, nil
}

func (p *parser) where(table string) ([]Equal, error) {
	if !p.accept("where") {
		return nil, nil
	}
	var all []Equal
	for {
		name, err := p.name()
		if err != nil {
			return nil, err
		}
		i, err := column(table, name)
		if err != nil {
			return nil, err
		}
		if !p.accept("=") {
			return nil, p.syntaxError()
		}
		v, err := p.value(Tables[table][i].Type)
		if err != nil {
			return nil, err
		}
		all = append(all, Equal{i, v})
		if !p.accept("and") {
			return all, nil
		}
	}
}

// value parses a literal or a parameter. It ignores a cast and parentheses around it.
func (p *parser) value(t Type) (Value, error) {
	open := 0
	for p.accept("(") {
		open++
	}
	v, err := p.literalOrParam(t)
	for ; err == nil && open > 0; open-- {
		if !p.accept(")") {
			err = p.syntaxError()
		}
	}
	return v, err
}

func (p *parser) literalOrParam(t Type) (Value, error) {
	sign := ""
	if p.accept("-") {
		sign = "-"
	}
	if len(p.tokens) == 0 {
		return Value{}, p.syntaxError()
	}
	tok := p.tokens[0]
	v := Value{Literal: sign + tok.text, Type: t}
	switch {
	case tok.kind == param && sign == "":
		n, err := strconv.Atoi(tok.text)
		if err != nil || n < 1 || n > maxParams {
			return Value{}, &Error{"42P02", "there is no parameter $" + tok.text}
		}
		for len(p.params) < n {
			p.params = append(p.params, Text)
		}
		p.params[n-1] = t
		v = Value{Param: n, Type: t}
	case tok.kind == number, tok.kind == text && sign == "":
	default:
		return Value{}, p.syntaxError()
	}
	p.tokens = p.tokens[1:]
	if p.accept(":", ":") {
		if _, err := p.name(); err != nil {
			return Value{}, err
		}
	}
	return v, nil
}

func (p *parser) table() (string, error) {
	name, err := p.name()
	if err != nil {
		return "", err
	}
	if _, known := Tables[name]; !known {
		return "", &Error{"42P01", "relation \"" + name + "\" does not exist"}
	}
	return name, nil
}

func (p *parser) name() (string, error) {
	if len(p.tokens) == 0 || p.tokens[0].kind != word && p.tokens[0].kind != quoted {
		return "", p.syntaxError()
	}
	name := p.tokens[0].text
	p.tokens = p.tokens[1:]
	return name, nil
}

// accept consumes the given words and punctuation if they are the next tokens. Otherwise it consumes nothing and returns
// false.
func (p *parser) accept(texts ...string) bool {
	if len(p.tokens) < len(texts) {
		return false
	}
	for i, t := range texts {
		if p.tokens[i].text != t || p.tokens[i].kind != word && p.tokens[i].kind != punct {
			return false
		}
	}
	p.tokens = p.tokens[len(texts):]
	return true
}

func (p *parser) acceptAny(texts ...string) {
	for _, t := range texts {
		if p.accept(t) {
			return
		}
	}
}

func (p *parser) remaining() string {
	var all []string
	for _, t := range p.tokens {
		all = append(all, t.text)
	}
	p.tokens = nil
	return strings.Join(all, " ")
}

func (p *parser) syntaxError() error {
	if len(p.tokens) == 0 {
		return &Error{"42601", "syntax error at end of input"}
	}
	return &Error{"42601", "syntax error at or near \"" + p.tokens[0].text + "\""}
}

func column(table, name string) (int, error) {
	i := slices.IndexFunc(Tables[table], func(c Column) bool { return c.Name == name })
	if i < 0 {
		return 0, &Error{"42703", "column \"" + name + "\" does not exist"}
	}
	return i, nil
}
