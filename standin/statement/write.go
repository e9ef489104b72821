package statement

import "slices"

// whereID parses a condition that selects one row by its primary key.
func (p *parser) whereID(table string) (Value, error) {
	conditions, err := p.where(table)
	if err != nil {
		return Value{}, err
	}
	if len(conditions) != 1 || conditions[0].Column != 0 {
		return Value{}, &Error{"42601", "the stand-in changes rows only by id"}
	}
	return conditions[0].Value, nil
}

func (p *parser) insert() (Statement, error) {
	table, err := p.table()
	if err != nil {
		return nil, err
	}
	var columns []int
	if p.accept("(") {
		if columns, err = p.columns(table); err != nil {
			return nil, err
		}
	} else {
		for i := range Tables[table] {
			columns = append(columns, i)
		}
	}
	if !p.accept("values") {
		return nil, p.syntaxError()
	}
	ins := Insert{Table: table}
	for {
		row, err := p.row(table, columns)
		if err != nil {
			return nil, err
		}
		ins.Rows = append(ins.Rows, row)
		if !p.accept(",") {
			break
		}
	}
	if p.accept("on", "conflict") {
		p.accept("(", "id", ")")
		if !p.accept("do", "nothing") {
			return nil, p.syntaxError()
		}
		ins.Ignore = true
	}
	return ins, nil
}

func (p *parser) columns(table string) ([]int, error) {
	var all []int
	for {
		name, err := p.name()
		if err != nil {
			return nil, err
		}
		i, err := column(table, name)
		if err != nil {
			return nil, err
		}
		if slices.Contains(all, i) {
			return nil, &Error{"42701", "column " + name + " specified more than once"}
		}
		all = append(all, i)
		if p.accept(")") {
			break
		}
		if !p.accept(",") {
			return nil, p.syntaxError()
		}
	}
	if !slices.Contains(all, 0) {
		return nil, &Error{"23502", "null value in column \"id\""}
	}
	return all, nil
}

func (p *parser) row(table string, columns []int) ([]Equal, error) {
	if !p.accept("(") {
		return nil, p.syntaxError()
	}
	var row []Equal
	for n, i := range columns {
		if n > 0 && !p.accept(",") {
			return nil, p.syntaxError()
		}
		v, err := p.value(Tables[table][i].Type)
		if err != nil {
			return nil, err
		}
		row = append(row, Equal{i, v})
	}
	if !p.accept(")") {
		return nil, p.syntaxError()
	}
	return row, nil
}

func (p *parser) update() (Statement, error) {
	table, err := p.table()
	if err != nil {
		return nil, err
	}
	if !p.accept("set") {
		return nil, p.syntaxError()
	}
	name, err := p.name()
	if err != nil {
		return nil, err
	}
	i, err := column(table, name)
	if err != nil {
		return nil, err
	}
	if !p.accept("=") || i == 0 {
		return nil, p.syntaxError()
	}
	u := Update{Table: table, Column: i}
	if Tables[table][i].Type == Int8 {
		switch {
		case p.accept(name, "+"):
			u.Sign = 1
		case p.accept(name, "-"):
			u.Sign = -1
		}
	}
	if u.Value, err = p.value(Tables[table][i].Type); err != nil {
		return nil, err
	}
	u.ID, err = p.whereID(table)
	return u, err
}

func (p *parser) deleteRow() (Statement, error) {
	table, err := p.table()
	if err != nil {
		return nil, err
	}
	id, err := p.whereID(table)
	return Delete{table, id}, err
}
