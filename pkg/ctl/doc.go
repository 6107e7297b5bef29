// Package ctl is the command line of operators, flamingowindctl.
//
// It talks to the resource API of any router. Every write carries an operation ID,
// so that trying it again at another router after a lost answer can't do it twice.
package ctl
