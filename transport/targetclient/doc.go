// Package targetclient contains the clients with which a sidecar calls its target, a
// model engine or a service, by the HTTP interface of the target. It is used in
// radishspoke's own deployment. On an external platform, package httpclient is used
// instead.
package targetclient
