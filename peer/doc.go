// Package peer implements the calls between nodes with connect-go. Each service
// has a client, which implements the transport interface of the package that
// uses it, and a server, which calls that package's handler. All calls are
// authenticated with the shared secret of the deployment.
package peer
