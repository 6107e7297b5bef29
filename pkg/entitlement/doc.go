// Package entitlement decides which requests of an organisation over its share belong to what it is
// due.
//
// An organisation that asks for several times its share is limited to what others leave, and there is
// little room for long prompts in it: they are refused first, although the organisation is due more
// than all of them. So the part of its requests that it is due, drawn without regard to size or kind,
// is served like those of organisations within their share. Only what it asks beyond is limited to
// what others leave.
//
// Each router draws for its own callers, by the organisation's traffic at all routers, so the drawn
// parts add up to what it is due. Nothing is saved up: the part follows from the traffic of the last
// seconds.
package entitlement
