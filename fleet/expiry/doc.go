// Package expiry decides whether a call may still be carried out. The sender of a call waits for a limited time and then sends other calls.
// A call that was held up, by a process that was suspended or a network that was cut, must not be carried out after them.
//
// Pauses and Arrived tell when a call reached this machine, however late its process reads it. A Clock and the Readings of it let a sender name the end
// of its wait by the clock of the receiver, without clocks that agree.
package expiry
