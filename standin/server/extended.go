package server

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"tamarackshunt.dev/standin/statement"
)

// prepared is a prepared statement with the object ids of its parameters' types.
type prepared struct {
	parsed statement.Parsed
	types  []uint32
}

// portal is a prepared statement bound to arguments. Once it ran, result holds the rows that are still to be sent.
type portal struct {
	statement statement.Statement
	args      []string
	formats   []int16
	result    *result
}

// query runs the statements of a simple query. Outside of BEGIN each runs in a transaction of its own.
func (ss *session) query(sql string) error {
	all, err := statement.Parse(sql)
	if err != nil {
		return err
	}
	if len(all) == 0 {
		ss.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	for _, parsed := range all {
		if len(parsed.Params) > 0 {
			return &statement.Error{Code: "42P02", Message: "there is no parameter $1"}
		}
		r, err := ss.runStatement(parsed.Statement, nil)
		if err != nil {
			return err
		}
		if fields := columns(parsed.Statement); fields != nil {
			ss.backend.Send(description(fields, nil))
		}
		if err := ss.sendRows(&portal{statement: parsed.Statement, result: r}, 0); err != nil {
			return err
		}
	}
	return nil
}

func (ss *session) parse(msg *pgproto3.Parse) error {
	all, err := statement.Parse(msg.Query)
	if err != nil {
		return err
	}
	if len(all) > 1 {
		return &statement.Error{Code: "42601", Message: "cannot insert multiple commands into a prepared statement"}
	}
	if _, exists := ss.statements[msg.Name]; exists && msg.Name != "" {
		return &statement.Error{Code: "42P05", Message: "prepared statement \"" + msg.Name + "\" already exists"}
	}
	p := &prepared{parsed: statement.Parsed{Statement: statement.Empty{}}}
	if len(all) == 1 {
		p.parsed = all[0]
	}
	for i, t := range p.parsed.Params {
		oid := oidOf(t)
		if i < len(msg.ParameterOIDs) && msg.ParameterOIDs[i] != 0 {
			oid = msg.ParameterOIDs[i]
		}
		p.types = append(p.types, oid)
	}
	ss.statements[msg.Name] = p
	ss.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (ss *session) bind(msg *pgproto3.Bind) error {
	p, known := ss.statements[msg.PreparedStatement]
	if !known {
		return unknownStatementError(msg.PreparedStatement)
	}
	if len(msg.Parameters) != len(p.types) {
		return &statement.Error{Code: "08P01", Message: "bind message supplies the wrong number of parameters"}
	}
	// The decoder reuses its buffer, so formats and values are copied.
	pt := &portal{statement: p.parsed.Statement, formats: append([]int16(nil), msg.ResultFormatCodes...)}
	for i, data := range msg.Parameters {
		arg, err := decodeParameter(data, p.types[i], formatAt(msg.ParameterFormatCodes, i))
		if err != nil {
			return err
		}
		pt.args = append(pt.args, arg)
	}
	ss.portals[msg.DestinationPortal] = pt
	ss.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (ss *session) describe(msg *pgproto3.Describe) error {
	var st statement.Statement
	var formats []int16
	if msg.ObjectType == 'S' {
		p, known := ss.statements[msg.Name]
		if !known {
			return unknownStatementError(msg.Name)
		}
		ss.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.types})
		st = p.parsed.Statement
	} else {
		pt, known := ss.portals[msg.Name]
		if !known {
			return &statement.Error{Code: "34000", Message: "portal \"" + msg.Name + "\" does not exist"}
		}
		st, formats = pt.statement, pt.formats
	}
	if fields := columns(st); fields != nil {
		ss.backend.Send(description(fields, formats))
	} else {
		ss.backend.Send(&pgproto3.NoData{})
	}
	return nil
}

func (ss *session) execute(msg *pgproto3.Execute) error {
	pt, known := ss.portals[msg.Portal]
	if !known {
		return &statement.Error{Code: "34000", Message: "portal \"" + msg.Portal + "\" does not exist"}
	}
	if pt.result == nil {
		r, err := ss.runStatement(pt.statement, pt.args)
		if err != nil {
			return err
		}
		pt.result = r
	}
	return ss.sendRows(pt, int(msg.MaxRows))
}

// sendRows sends up to limit rows of a portal, or all if limit is 0, and CommandComplete after the last one.
func (ss *session) sendRows(pt *portal, limit int) error {
	if _, empty := pt.statement.(statement.Empty); empty {
		ss.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	fields := columns(pt.statement)
	n := len(pt.result.rows)
	if limit > 0 && limit < n {
		n = limit
	}
	for _, row := range pt.result.rows[:n] {
		data, err := encodeRow(row, fields, pt.formats)
		if err != nil {
			return err
		}
		ss.backend.Send(data)
	}
	pt.result.rows = pt.result.rows[n:]
	if len(pt.result.rows) > 0 {
		ss.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	ss.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(pt.result.tag)})
	return nil
}

func (ss *session) closeObject(msg *pgproto3.Close) {
	if msg.ObjectType == 'S' {
		delete(ss.statements, msg.Name)
	} else {
		delete(ss.portals, msg.Name)
	}
	ss.backend.Send(&pgproto3.CloseComplete{})
}

func unknownStatementError(name string) error {
	return &statement.Error{Code: "26000", Message: "prepared statement \"" + name + "\" does not exist"}
}
