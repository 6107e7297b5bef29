// Package operator serves the resource API to operators, on a listener of its own and
// with credentials apart from callers' keys.
//
//	GET    /api/v1/{kind}                 all resources of a kind
//	GET    /api/v1/{kind}/{name}          one resource; its version is the ETag
//	PUT    /api/v1/{kind}/{name}          create or replace (If-Match or ?version=)
//	DELETE /api/v1/{kind}/{name}          delete (If-Match or ?version=)
//	POST   /api/v1/apply                  write a set of resources, or a dry run of it
//	GET    /api/v1/operations/{id}        the version that a write made, by its operation ID
//	GET    /api/v1/watch?from=VERSION     changes as JSON lines
//	GET    /api/v1/status                 versions in force, and what is waited for
//	POST   /api/v1/drain                  drain this router
package operator
