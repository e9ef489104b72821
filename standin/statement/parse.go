package statement

import (
	"slices"
	"strconv"
	"strings"
)

// maxParams is the number of parameters that the protocol can count.
const maxParams = 65535

// Parsed is a statement and the types of its parameters.
type Parsed struct {
	Statement Statement
	Params    []Type
}

// replicationColumns is the only list of columns of pg_stat_replication that the stand-in knows.
var replicationColumns = strings.Split("application_name , term , flush_lsn , replay_lsn , age_ms from pg_stat_replication", " ")

type parser struct {
	tokens []token
	params []Type
}

// Parse reads SQL text with statements separated by semicolons; errors are of type *Error.
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
				return nil, p.unexpected()
			}
			all = append(all, Parsed{st, p.params})
		}
		tokens = tokens[min(end+1, len(tokens)):]
	}
	return all, nil
}

func (p *parser) statement() (Statement, error) {
	switch {
	case p.take("select"):
		return p.selects()
	case p.take("insert", "into"):
		return p.insert()
	case p.take("update"):
		return p.update()
	case p.take("delete", "from"):
		return p.remove()
	case p.take("begin"), p.take("start", "transaction"):
		return p.begin()
	case p.take("commit"), p.take("end"):
		p.takeAny("work", "transaction")
		return Commit{}, nil
	case p.take("rollback"), p.take("abort"):
		p.takeAny("work", "transaction")
		return Rollback{}, nil
	case p.take("set"):
		return p.set()
	case p.take("show"):
		name := p.rest()
		return Show{name}, nil
	case p.take("discard", "all"):
		return Discard{}, nil
	case p.take("deallocate"):
		p.take("prepare")
		if p.take("all") {
			return Deallocate{}, nil
		}
		name, err := p.name()
		return Deallocate{name}, err
	}
	return nil, p.unexpected()
}

func (p *parser) begin() (Statement, error) {
	p.takeAny("work", "transaction")
	var b Begin
	for len(p.tokens) > 0 {
		switch {
		case p.take("read", "only"):
			b.ReadOnly, b.ReadWrite = true, false
		case p.take("read", "write"):
			b.ReadOnly, b.ReadWrite = false, true
		case p.take("isolation", "level"):
			p.take("read")
			p.take("repeatable")
			p.takeAny("committed", "uncommitted", "read", "serializable")
		case p.take(","):
		default:
			return nil, p.unexpected()
		}
	}
	return b, nil
}

func (p *parser) set() (Statement, error) {
	p.takeAny("session", "local")
	name, err := p.name()
	if err != nil {
		return nil, err
	}
	for p.take(".") {
		part, err := p.name()
		if err != nil {
			return nil, err
		}
		name += "." + part
	}
	if !p.take("to") && !p.take("=") && name != "time" && name != "transaction" && name != "characteristics" {
		return nil, p.unexpected()
	}
	return Set{name, p.rest()}, nil
}

func (p *parser) selects() (Statement, error) {
	if call, ok, err := p.call(); ok || err != nil {
		return call, err
	}
	if p.take("*", "from", "pg_stat_replication") || p.take(replicationColumns...) {
		return Call{Name: "pg_stat_replication"}, nil
	}
	if p.take("*", "from") {
		if call, ok, err := p.call(); ok || err != nil {
			return call, err
		}
		return p.from(Select{}, []string{"*"})
	}
	if p.take("count", "(", "*", ")", "from") {
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
			if !p.take(",") {
				break
			}
		}
		if !p.take("from") {
			return nil, p.unexpected()
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
		if !p.take(",") {
			return Literal{values}, nil
		}
	}
}

// call reads a call of a function with a name of the catalogue.
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
		if i > 0 && !p.take(",") {
			return nil, false, p.unexpected()
		}
		v, err := p.value(t)
		if err != nil {
			return nil, false, err
		}
		c.Args = append(c.Args, v)
	}
	if !p.take(")") {
		return nil, false, p.unexpected()
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
	if p.take("order", "by", "id") {
		p.take("asc")
	}
	s.Limit = -1
	if p.take("limit") {
		if len(p.tokens) == 0 || p.tokens[0].kind != number {
			return nil, p.unexpected()
		}
		if s.Limit, err = strconv.Atoi(p.tokens[0].text); err != nil {
			return nil, p.unexpected()
		}
		p.tokens = p.tokens[1:]
	}
	return s, nil
}

func (p *parser) where(table string) ([]Equal, error) {
	if !p.take("where") {
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
		if !p.take("=") {
			return nil, p.unexpected()
		}
		v, err := p.value(Tables[table][i].Type)
		if err != nil {
			return nil, err
		}
		all = append(all, Equal{i, v})
		if !p.take("and") {
			return all, nil
		}
	}
}

// value reads a literal or parameter, with a cast and parentheses around it ignored.
func (p *parser) value(t Type) (Value, error) {
	open := 0
	for p.take("(") {
		open++
	}
	v, err := p.bare(t)
	for ; err == nil && open > 0; open-- {
		if !p.take(")") {
			err = p.unexpected()
		}
	}
	return v, err
}

func (p *parser) bare(t Type) (Value, error) {
	sign := ""
	if p.take("-") {
		sign = "-"
	}
	if len(p.tokens) == 0 {
		return Value{}, p.unexpected()
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
		return Value{}, p.unexpected()
	}
	p.tokens = p.tokens[1:]
	if p.take(":", ":") {
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
		return "", p.unexpected()
	}
	name := p.tokens[0].text
	p.tokens = p.tokens[1:]
	return name, nil
}

// take consumes the given words and signs if they come next, all or none.
func (p *parser) take(texts ...string) bool {
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

func (p *parser) takeAny(texts ...string) {
	for _, t := range texts {
		if p.take(t) {
			return
		}
	}
}

func (p *parser) rest() string {
	var all []string
	for _, t := range p.tokens {
		all = append(all, t.text)
	}
	p.tokens = nil
	return strings.Join(all, " ")
}

func (p *parser) unexpected() error {
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
