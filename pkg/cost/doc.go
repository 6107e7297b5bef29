// Package cost predicts what a request will cost, in units, before it has run.
//
// A Predictor learns from the settled costs of earlier requests of the same
// organisation, class and pool. The caller's hint sharpens the prediction, but
// over all requests it can't make an organisation's charges fall below what they
// would be without hints: see Predictor.Predict.
//
// The package holds no clock, lock or goroutine.
package cost
