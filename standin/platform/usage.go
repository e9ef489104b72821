package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
)

// UsageReport is one report of usage as it arrived.
type UsageReport struct {
	Window uint64
	// Body is the report byte for byte.
	Body   string
	Holder string
	Token  uint64
	// Accepted is set if the report was executed.
	Accepted bool
}

// UsageLog receives the reports of usage. All windows are one subject of fencing.
type UsageLog struct {
	mu      sync.Mutex
	token   uint64
	reports []UsageReport
	// answers are the statuses of the next reports, which are not executed; 0 closes the connection without an answer after the
	// report is executed.
	answers []int
}

// Reports returns all reports that arrived.
func (u *UsageLog) Reports() []UsageReport {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]UsageReport(nil), u.reports...)
}

// Answer answers the next reports with statuses and does not execute them. For 0 a report is executed, and the connection is closed
// without an answer.
func (u *UsageLog) Answer(statuses ...int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answers = statuses
}

// ServeHTTP implements http.Handler.
func (u *UsageLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var content struct {
		Window *uint64           `json:"window_id"`
		Counts map[string]uint64 `json:"counts"`
	}
	token, tokenErr := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	body, err := io.ReadAll(r.Body)
	holder := r.Header.Get("Duty-Holder")
	if tokenErr != nil || holder == "" || err != nil || json.Unmarshal(body, &content) != nil || content.Window == nil || content.Counts == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	report := UsageReport{Window: *content.Window, Body: string(body), Holder: holder, Token: token}
	status := http.StatusOK
	if len(u.answers) > 0 {
		status, u.answers = u.answers[0], u.answers[1:]
	}
	if status == 0 || status == http.StatusOK {
		if token < u.token {
			status = http.StatusConflict
		} else {
			u.token, report.Accepted = token, true
		}
	}
	u.reports = append(u.reports, report)
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	if hijacked, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = hijacked.Close()
	}
}
