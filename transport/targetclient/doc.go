// Package targetclient contains the clients with which a sidecar calls its target, a model
// engine or a service, by the HTTP interface of the target.
package targetclient
