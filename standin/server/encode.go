package server

import (
	"encoding/binary"
	"math"
	"strconv"
	"unicode/utf8"

	"github.com/jackc/pgx/v5/pgproto3"

	"tamarackshunt.dev/standin/statement"
)

// PostgreSQL's object ids of types.
const (
	oidBool    = 16
	oidInt8    = 20
	oidInt2    = 21
	oidInt4    = 23
	oidText    = 25
	oidFloat8  = 701
	oidVarchar = 1043
	oidUnknown = 705
)

const formatBinary = 1

// field is a column of a result.
type field struct {
	name string
	oid  uint32
}

func oidOf(t statement.Type) uint32 {
	switch t {
	case statement.Int8:
		return oidInt8
	case statement.Float8:
		return oidFloat8
	case statement.Text:
	}
	return oidText
}

// functionColumns holds the result columns of functions that return anything other than a single text.
var functionColumns = map[string][]field{
	"pg_is_in_recovery": {{"pg_is_in_recovery", oidBool}},
	"pg_stat_replication": {
		{"application_name", oidText},
		{"term", oidInt8},
		{"flush_lsn", oidText},
		{"replay_lsn", oidText},
		{"age_ms", oidInt8},
	},
}

// columns returns the columns of a statement's result, or nil for a statement without rows.
func columns(st statement.Statement) []field {
	switch st := st.(type) {
	case statement.Select:
		if st.Count {
			return []field{{"count", oidInt8}}
		}
		fields := []field{}
		for _, c := range st.Columns {
			column := statement.Tables[st.Table][c]
			fields = append(fields, field{column.Name, oidOf(column.Type)})
		}
		return fields
	case statement.Literal:
		fields := []field{}
		for _, v := range st.Values {
			fields = append(fields, field{"?column?", oidOf(v.Type)})
		}
		return fields
	case statement.Call:
		if fields, known := functionColumns[st.Name]; known {
			return fields
		}
		return []field{{st.Name, oidText}}
	case statement.Show:
		return []field{{st.Name, oidText}}
	}
	return nil
}

func description(fields []field, formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for i, f := range fields {
		size := int16(-1)
		switch f.oid {
		case oidInt8:
			size = 8
		case oidBool:
			size = 1
		}
		d.Fields = append(d.Fields, pgproto3.FieldDescription{
			Name: []byte(f.name), DataTypeOID: f.oid, DataTypeSize: size, TypeModifier: -1, Format: formatAt(formats, i),
		})
	}
	return d
}

// formatAt returns the format code of a column or parameter. No codes mean text for all; a single code applies to all.
func formatAt(formats []int16, i int) int16 {
	switch {
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return 0
}

func encodeRow(row []string, fields []field, formats []int16) (*pgproto3.DataRow, error) {
	data := &pgproto3.DataRow{}
	for i, value := range row {
		if formatAt(formats, i) != formatBinary {
			data.Values = append(data.Values, []byte(value))
			continue
		}
		switch fields[i].oid {
		case oidInt8:
			n, err := strconv.ParseInt(value, 10, 64)
			if err != nil {
				return nil, &statement.Error{Code: "22P02", Message: "invalid input syntax for type bigint: \"" + value + "\""}
			}
			data.Values = append(data.Values, binary.BigEndian.AppendUint64(nil, uint64(n)))
		case oidBool:
			set := byte(0)
			if value == "t" {
				set = 1
			}
			data.Values = append(data.Values, []byte{set})
		default:
			data.Values = append(data.Values, []byte(value))
		}
	}
	return data, nil
}

// decodeParameter converts a parameter's value to its text form.
func decodeParameter(data []byte, oid uint32, format int16) (string, error) {
	if data == nil {
		return "", &statement.Error{Code: "23502", Message: "the stand-in has no null values"}
	}
	if format != formatBinary || oid == oidText || oid == oidVarchar || oid == oidUnknown {
		if !utf8.Valid(data) {
			return "", &statement.Error{Code: "22021", Message: "invalid byte sequence for encoding \"UTF8\""}
		}
		return string(data), nil
	}
	switch {
	case oid == oidInt8 && len(data) == 8:
		return strconv.FormatInt(int64(binary.BigEndian.Uint64(data)), 10), nil
	case oid == oidInt4 && len(data) == 4:
		return strconv.FormatInt(int64(int32(binary.BigEndian.Uint32(data))), 10), nil
	case oid == oidInt2 && len(data) == 2:
		return strconv.FormatInt(int64(int16(binary.BigEndian.Uint16(data))), 10), nil
	case oid == oidFloat8 && len(data) == 8:
		return strconv.FormatFloat(math.Float64frombits(binary.BigEndian.Uint64(data)), 'g', -1, 64), nil
	}
	return "", &statement.Error{Code: "22P03", Message: "incorrect binary data format in bind parameter"}
}
