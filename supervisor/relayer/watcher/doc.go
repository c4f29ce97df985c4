// Package watcher follows the platform's directory: one task for the
// configuration and one for the list of backend servers.
package watcher
