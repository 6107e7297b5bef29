// Package routing holds the declared configuration of a gateway: routes by host and
// path prefix, the services behind them, organisations with their keys, and limits.
//
// A Config is what an operator declares; a Table indexes it for lookups. Both are immutable once
// built, so readers share them without locks.
package routing
