// Package peer carries calls between nodes over connect-go. Each service has a
// client, which implements the transport interface of the package that needs
// it, and a server over that package's handler. All of them authenticate with
// the deployment's shared secret.
package peer
