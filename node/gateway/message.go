package gateway

import (
	"errors"
	"math"
	"time"

	"tamarackshunt.dev/fleet/balance"
	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/node/upstream"
)

func useFromProto(request *fleetpb.UseRequest) upstream.Use {
	use := upstream.Use{
		Key:     catalog.KeyID(request.GetKey()),
		Version: ident.Version(request.GetVersion()),
		Values:  valuesFromProto(request.GetValues()),
		Opening: upstream.Opening(request.GetOpening()),
		Since:   positionFromProto(request.GetSince()),
		ID:      string(request.GetId()),
		Text:    string(request.GetText()),
		Timeout: time.Duration(request.GetTimeoutMs()) * time.Millisecond,
		Keep:    request.GetKeep(),
		Within:  time.Duration(request.GetWithinMs()) * time.Millisecond,
		Late:    request.GetLate(),
	}
	if p := request.GetPrepared(); p != nil {
		use.Prepared = &statement.Prepared{Writes: p.GetWrites(), Shape: string(p.GetShape())}
	}
	return use
}

func valuesToProto(values map[string]string) []*fleetpb.SessionValue {
	list := make([]*fleetpb.SessionValue, 0, len(values))
	for name, value := range values {
		list = append(list, &fleetpb.SessionValue{Name: []byte(name), Value: []byte(value)})
	}
	return list
}

func valuesFromProto(list []*fleetpb.SessionValue) map[string]string {
	values := make(map[string]string, len(list))
	for _, v := range list {
		values[string(v.GetName())] = string(v.GetValue())
	}
	return values
}

func positionFromProto(p *fleetpb.Position) ident.Position {
	return ident.Position{Term: ident.Term(p.GetTerm()), LSN: ident.LSN(p.GetLsn())}
}

func positionToProto(p ident.Position) *fleetpb.Position {
	if p == (ident.Position{}) {
		return nil
	}
	return &fleetpb.Position{Term: uint64(p.Term), Lsn: uint64(p.LSN)}
}

func responseToProto(outcome upstream.Outcome, err error) *fleetpb.UseResponse {
	response := &fleetpb.UseResponse{
		Ran:       outcome.Ran,
		Rows:      rows(outcome.Result.Rows),
		Signature: []byte(outcome.Result.Signature),
		State:     uint32(outcome.Result.State),
		Position:  positionToProto(outcome.Result.Position),
		Opened:    positionToProto(outcome.Opened),
		Load:      loadToProto(outcome.Load),
	}
	var notHolder *upstream.NotHolderError
	response.NotHolder = errors.As(err, &notHolder)
	if f := failureOf(outcome, err); f != nil {
		response.RetryMs = uint32(max(0, (f.Retry+time.Millisecond-1)/time.Millisecond))
	}
	var failure *statement.Failure
	var broken *upstream.BrokenError
	switch {
	case err == nil:
		if f := outcome.Result.Failure; f != nil {
			response.Failure = &fleetpb.UseFailure{Code: uint32(f.Code), Text: []byte(f.Text)}
		}
	case errors.As(err, &failure):
		// Unreachable beside Failure marks the failure as one after which the statement did not run.
		response.Failure = &fleetpb.UseFailure{Code: uint32(failure.Code), Text: []byte(failure.Text)}
		response.Unreachable = []byte(failure.Error())
	case errors.As(err, &broken):
		response.Broken = []byte(broken.Error())
	default:
		response.Unreachable = []byte(err.Error())
	}
	return response
}

// failureOf returns the failure of an outcome, or nil.
func failureOf(outcome upstream.Outcome, err error) *statement.Failure {
	var failure *statement.Failure
	if errors.As(err, &failure) {
		return failure
	}
	return outcome.Result.Failure
}

func failureFromProto(response *fleetpb.UseResponse) *statement.Failure {
	f := response.GetFailure()
	if f == nil {
		return nil
	}
	retry := time.Duration(response.GetRetryMs()) * time.Millisecond
	return &statement.Failure{Code: statement.Code(f.GetCode()), Text: string(f.GetText()), Retry: retry}
}

// maxService is the longest service time that a message carries.
const maxService = math.MaxUint32 * time.Microsecond

func loadToProto(load balance.Load) *fleetpb.UpstreamLoad {
	if load == (balance.Load{}) {
		return nil
	}
	return &fleetpb.UpstreamLoad{
		Waiting:   uint32(load.Waiting),
		Running:   uint32(load.Running),
		Slots:     uint32(load.Slots),
		ServiceUs: uint32(min(load.Service, maxService) / time.Microsecond),
	}
}

func loadFromProto(load *fleetpb.UpstreamLoad) balance.Load {
	return balance.Load{
		Waiting: int(load.GetWaiting()),
		Running: int(load.GetRunning()),
		Slots:   int(load.GetSlots()),
		Service: time.Duration(load.GetServiceUs()) * time.Microsecond,
	}
}

func rows(texts []string) [][]byte {
	list := make([][]byte, 0, len(texts))
	for _, text := range texts {
		list = append(list, []byte(text))
	}
	return list
}

// texts returns the rows of a response, or nil if there are none.
func texts(rows [][]byte) []string {
	var list []string
	for _, row := range rows {
		list = append(list, string(row))
	}
	return list
}
