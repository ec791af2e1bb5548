// Package config holds the configuration that operators publish as a whole: routes, the services that run their tasks, and bounds on
// requests. A newer version replaces an older one entirely.
package config
