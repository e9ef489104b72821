package statement

import "slices"

// id reads the condition that names one row by its primary key.
func (p *parser) id(table string) (Value, error) {
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
	if p.take("(") {
		if columns, err = p.columns(table); err != nil {
			return nil, err
		}
	} else {
		for i := range Tables[table] {
			columns = append(columns, i)
		}
	}
	if !p.take("values") {
		return nil, p.unexpected()
	}
	ins := Insert{Table: table}
	for {
		row, err := p.row(table, columns)
		if err != nil {
			return nil, err
		}
		ins.Rows = append(ins.Rows, row)
		if !p.take(",") {
			break
		}
	}
	if p.take("on", "conflict") {
		p.take("(", "id", ")")
		if !p.take("do", "nothing") {
			return nil, p.unexpected()
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
		if p.take(")") {
			break
		}
		if !p.take(",") {
			return nil, p.unexpected()
		}
	}
	if !slices.Contains(all, 0) {
		return nil, &Error{"23502", "null value in column \"id\""}
	}
	return all, nil
}

func (p *parser) row(table string, columns []int) ([]Equal, error) {
	if !p.take("(") {
		return nil, p.unexpected()
	}
	var row []Equal
	for n, i := range columns {
		if n > 0 && !p.take(",") {
			return nil, p.unexpected()
		}
		v, err := p.value(Tables[table][i].Type)
		if err != nil {
			return nil, err
		}
		row = append(row, Equal{i, v})
	}
	if !p.take(")") {
		return nil, p.unexpected()
	}
	return row, nil
}

func (p *parser) update() (Statement, error) {
	table, err := p.table()
	if err != nil {
		return nil, err
	}
	if !p.take("set") {
		return nil, p.unexpected()
	}
	name, err := p.name()
	if err != nil {
		return nil, err
	}
	i, err := column(table, name)
	if err != nil {
		return nil, err
	}
	if !p.take("=") || i == 0 {
		return nil, p.unexpected()
	}
	u := Update{Table: table, Column: i}
	if Tables[table][i].Type == Int8 {
		switch {
		case p.take(name, "+"):
			u.Sign = 1
		case p.take(name, "-"):
			u.Sign = -1
		}
	}
	if u.Value, err = p.value(Tables[table][i].Type); err != nil {
		return nil, err
	}
	u.ID, err = p.id(table)
	return u, err
}

func (p *parser) remove() (Statement, error) {
	table, err := p.table()
	if err != nil {
		return nil, err
	}
	id, err := p.id(table)
	return Delete{table, id}, err
}
