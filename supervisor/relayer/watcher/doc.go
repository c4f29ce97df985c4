// Package watcher follows the platform's directory. One task reads the configuration
// and another one the list of backend servers.
package watcher
