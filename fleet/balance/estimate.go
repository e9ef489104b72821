package balance

import (
	"math"
	"time"
)

const (
	// workHalfLife and serviceHalfLife are the ages at which a reported number counts half and the mean of the upstreams the other
	// half. A queue fills and drains within a few service times; an upstream that turns slow stays so for longer.
	workHalfLife    = 200 * time.Millisecond
	serviceHalfLife = 2 * time.Second
	// defaultService is the service time of an upstream when none was reported for any.
	defaultService = 10 * time.Millisecond
	// maxTime bounds expected times; no statement is waited for that long.
	maxTime = time.Hour
	// primaryReserve is the number of slots that reads leave to the other statements of a primary that is busier than its replicas.
	primaryReserve = 1
)

// expectedTimes returns the time in which each option is expected to answer, its distance included.
func expectedTimes(options []Option, hosts int) []time.Duration {
	mean := meanOf(options)
	times := make([]time.Duration, len(options))
	for i, o := range options {
		times[i] = expectedTime(o, mean, hosts)
	}
	return times
}

// means are the means over the options with a report.
type means struct {
	work, slots float64
	service     time.Duration
}

// meanOf returns the means over the options with a report, of which there is at least one. Each report counts by its age.
func meanOf(options []Option) means {
	var m means
	var known, workSum, serviceSum, service float64
	for _, o := range options {
		if !o.Report.Known {
			continue
		}
		known++
		m.slots += float64(o.Report.Load.Slots)
		weight := trust(o.Report.Age, workHalfLife)
		workSum += weight
		m.work += weight * o.Report.Load.work()
		if o.Report.Load.Service > 0 {
			weight := trust(o.Report.Age, serviceHalfLife)
			serviceSum += weight
			service += weight * o.Report.Load.Service.Seconds()
		}
	}
	m.work /= workSum
	m.slots = math.Max(1, m.slots/known)
	m.service = defaultService
	if serviceSum > 0 {
		m.service = seconds(service / serviceSum)
	}
	return m
}

// trust returns the weight of a reported number of an age, 1 for a new one. It is never 0, so that a mean is defined.
func trust(age, halfLife time.Duration) float64 {
	return math.Max(math.Exp2(-age.Seconds()/halfLife.Seconds()), math.SmallestNonzeroFloat32)
}

func expectedTime(o Option, mean means, hosts int) time.Duration {
	work, slots, service := mean.work, mean.slots, mean.service
	if r := o.Report; r.Known {
		slots = math.Max(1, float64(r.Load.Slots))
		if r.Load.Service > 0 {
			service += seconds(trust(r.Age, serviceHalfLife) * (r.Load.Service - mean.service).Seconds())
		}
		work += trust(r.Age, workHalfLife) * (workNow(r, slots, service, hosts) - mean.work)
	}
	if o.Primary && work > mean.work {
		slots = math.Max(1, slots-primaryReserve)
	}
	wait := seconds(math.Max(0, work+1-slots) / slots * service.Seconds())
	return max(wait, ownWait(o)) + service + o.Distance.cost()
}

// ownWait returns the wait that the host's own statements show. It notices an upstream or a gateway that answers nobody, and from
// which therefore no report comes.
func ownWait(o Option) time.Duration {
	if o.InFlight == 0 {
		return 0
	}
	return max(time.Duration(o.InFlight)*costPerStatement, min(o.Report.Silence, maxTime))
}

// workNow carries the reported work forward: statements that this host and, by its rate, the others have sent since the report were
// added, and the slots have served others meanwhile.
func workNow(r Report, slots float64, service time.Duration, hosts int) float64 {
	others := float64(hosts-1) * r.Rate * r.Age.Seconds()
	served := slots * r.Age.Seconds() / service.Seconds()
	return math.Max(0, r.Load.work()+float64(r.Sent)+others-served)
}

// seconds returns a duration of s seconds, within maxTime.
func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, maxTime.Seconds()) * float64(time.Second))
}
