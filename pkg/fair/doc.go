// Package fair orders waiting work of organisations by weighted service received.
//
// Each organisation has a virtual counter: units of service divided by its weight.
// The backlogged organisation with the least counter is served next. Cost is charged
// as predicted when work is granted, charged further as service passes the prediction,
// and settled when the work ends. The scheme is the Virtual Token Counter of "Fairness
// in Serving Large Language Models" (Sheng et al., OSDI 2024), with predicted costs.
//
// The package decides only: it reads no clock, holds no lock, and the same calls give
// the same order.
package fair
