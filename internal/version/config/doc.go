// Package config has the configuration that operators publish whole: routes, the services that run
// their tasks, and bounds on requests. A newer version replaces an older one entirely.
package config
