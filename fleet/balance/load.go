package balance

import "time"

// Load is the load of an upstream as the gateway that holds its connections measures it.
type Load struct {
	// Waiting and Running count statements; Slots is how many of them the upstream runs at a time.
	Waiting, Running, Slots int
	// Service is the mean time that a slot is taken by a statement, or 0 if none was measured.
	Service time.Duration
}

// work returns the number of statements that wait or run.
func (l Load) work() float64 { return float64(l.Waiting + l.Running) }

// serviceWeightDivisor is the inverse weight of one measurement in the mean service time. With 16, the mean follows an upstream
// that turns slow within a few dozen statements, and a single slow statement has little effect.
const serviceWeightDivisor = 16

// ServiceTime is the mean time that a slot is taken by a statement. The zero value has no measurement.
type ServiceTime struct{ mean time.Duration }

// Record adds a statement that took a time while running statements, itself included, shared the slots.
func (s *ServiceTime) Record(took time.Duration, running, slots int) {
	if running > slots {
		// Part of the time was spent waiting for a slot.
		took = took * time.Duration(slots) / time.Duration(running)
	}
	if s.mean == 0 {
		s.mean = took
		return
	}
	s.mean += (took - s.mean) / serviceWeightDivisor
}

// Mean returns the mean, or 0 without a measurement.
func (s *ServiceTime) Mean() time.Duration { return s.mean }
