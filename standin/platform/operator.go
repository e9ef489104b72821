package platform

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// orderTimeout limits the time of an operator's order.
const orderTimeout = 2 * time.Second

// Operator sends orders to the address at which a host accepts them. Its methods return the HTTP status, or 0 if there was no
// answer.
type Operator struct{ Address string }

// Configure sends a configuration and returns the status.
func (o Operator) Configure(body string) int {
	status, _ := o.call(http.MethodPost, "Config.Put", body)
	return status
}

// Configuration returns the status and the newest configuration that the host has.
func (o Operator) Configuration() (int, string) {
	return o.call(http.MethodGet, "Config.Get", "")
}

// Evacuate takes an availability zone out of service or back into it, and returns the status.
func (o Operator) Evacuate(zone string, active bool) int {
	order := "Evacuate.End/"
	if active {
		order = "Evacuate.Begin/"
	}
	status, _ := o.call(http.MethodPost, order+zone, "")
	return status
}

// Announce sends the announcement of another writer under an escaped id to a core host, and returns the status.
func Announce(address, id, body string) int {
	status, _ := Operator{address}.call(http.MethodPost, "Instances.Heartbeat/"+id, body)
	return status
}

// Ready reports whether the host at an address accepts new sessions. It sends the same request as the load balancer.
func Ready(address string) bool {
	status, _ := Operator{address}.call(http.MethodGet, "readyz", "")
	return status == http.StatusOK
}

func (o Operator) call(method, order, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+o.Address+"/tamarackshunt/"+order, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	client := http.Client{Timeout: orderTimeout}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}
