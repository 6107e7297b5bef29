// Package crowd_test plays many callers that all come to one small router.
package crowd_test
